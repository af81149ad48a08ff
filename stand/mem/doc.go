// Package mem is an in-memory core.Store for tests with fault injection per call. It starts no goroutines and waits only
// with timers of the time package, so that it also works in the virtual time of testing/synctest.
package mem
