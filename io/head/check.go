package head

import (
	"errors"
	"fmt"
	"net/http"
)

// ErrMalformed is the error of an answer whose head HTTP does not allow.
var ErrMalformed = errors.New("the head of the answer is malformed")

const (
	minStatus = 100
	maxStatus = 599
)

// Check returns an error that wraps ErrMalformed if HTTP does not allow the head of an answer.
func Check(resp *http.Response) error { return checkStatus(resp.StatusCode) }

func checkStatus(status int) error {
	switch {
	case status < minStatus || status > maxStatus:
		return fmt.Errorf("%w: status %03d is not from %d to %d", ErrMalformed, status, minStatus, maxStatus)
	case status == http.StatusSwitchingProtocols:
		return fmt.Errorf("%w: it switches to a protocol that was not requested", ErrMalformed)
	}
	return nil
}
