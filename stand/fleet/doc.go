// Package fleet runs simulated services (the stand-ins) and instances of snipeshed together in one process, for the demo,
// tests and benchmarks.
package fleet
