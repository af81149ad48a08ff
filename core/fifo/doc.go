// Package fifo is the baseline policy: first come, first served, round robin over the endpoints.
//
// Benchmarks compare package queue with it; see docs/policy.md.
package fifo
