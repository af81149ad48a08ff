// Package bench measures the latency, CPU time and memory that proxying through snipeshed adds to direct calls of a
// simulated model runner. One run has a latency phase and a load phase.
package bench
