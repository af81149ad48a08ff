// Package core holds the interfaces, named types and typed errors that the other packages share.
//
// The packages below it are deterministic and use neither sockets nor goroutines:
// they take events and the current time as arguments and return actions.
package core
