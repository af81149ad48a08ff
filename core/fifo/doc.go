// Package fifo is the baseline policy: first come, first served, round robin over the endpoints.
//
// Queue is measured against it; see docs/policy.md.
package fifo
