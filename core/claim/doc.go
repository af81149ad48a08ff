// Package claim decides the next step of one protected action, which must run at most once per idempotency key.
//
// It is a state machine without sockets or goroutines: it takes the outcome of
// each step with the current time and returns the next step. Only the process
// that created an attempt's nonce sends the request or changes the record of
// the attempt, so no lease is needed for a holder that pauses or crashes: at
// worst its record stays in the state claimed.
package claim
