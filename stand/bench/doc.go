// Package bench measures the latency, CPU time and memory that proxying through snipeshed adds to direct calls of a
// simulated model runner. One run measures both.
package bench
