// Package trial benchmarks scheduling policies. It runs them on simulated engines in virtual time and measures latency,
// throughput and fairness as clients would see them.
package trial
