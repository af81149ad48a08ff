// Package mem implements the object API in memory for tests, with faults that a function decides per call. It uses only
// the time package for delays, so that it also runs in virtual time, and starts no goroutine.
package mem
