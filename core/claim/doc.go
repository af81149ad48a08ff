// Package claim decides the next step of one protected action, which must run at most once per idempotency key.
//
// It has no sockets or goroutines: it takes the outcome of each step with the
// current time and returns the step that follows. Only the process that made
// an attempt's nonce sends it or changes its record, so a paused or crashed
// holder needs no lease: at worst its record stays claimed.
package claim
