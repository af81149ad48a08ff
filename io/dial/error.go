package dial

import (
	"errors"
	"fmt"
	"syscall"
)

// Error is the failure of a request that got no valid response.
type Error struct {
	// Written is the number of bytes of the request that may have reached the endpoint.
	Written int64
	// Skipped are the responses to other requests that arrived in place of a response.
	Skipped []SkippedAnswer
	Cause   error
}

// Error returns the cause and whether the endpoint may have run the call.
func (e *Error) Error() string {
	if e.Written == 0 {
		return fmt.Sprintf("nothing was sent: %v; the call can go to another endpoint", e.Cause)
	}
	return fmt.Sprintf("no answer after %d bytes were sent: %v; the endpoint may have run the call", e.Written, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Refused reports whether the endpoint's host refused the connection because nothing listens at the address.
func (e *Error) Refused() bool { return e.Written == 0 && errors.Is(e.Cause, syscall.ECONNREFUSED) }

// MayHaveRun reports whether the endpoint may have run the call.
func (e *Error) MayHaveRun() bool { return e.Written > 0 }
