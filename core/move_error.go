package core

import (
	"fmt"
	"net/http"
)

// MoveError is an engine's refusal to move a generation or to reserve memory for one.
type MoveError struct{ Status int }

// Error returns the reason for the refusal and, where there is one, a remedy.
func (e *MoveError) Error() string {
	switch e.Status {
	case http.StatusNotFound:
		return "the engine does not run the generation; it has ended or has not begun"
	case http.StatusConflict:
		return "the engine is copying the generation already; wait for that copy"
	case http.StatusServiceUnavailable:
		return "the other engine has no room or cannot be reached; choose another"
	default:
		return fmt.Sprintf("the engine answered a move with status %d", e.Status)
	}
}
