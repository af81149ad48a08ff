// Package core holds the interfaces, named types and typed errors that the other packages share.
//
// The packages below it make decisions without sockets or goroutines: they take
// events and the current time and return actions.
package core
