package head

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// ErrMalformed is the error of an answer whose head HTTP does not allow.
var ErrMalformed = errors.New("the head of the answer is malformed")

const (
	minStatus = 100
	maxStatus = 599
	// maxErrorRunes bounds the part of a field name in an error.
	maxErrorRunes = 40
)

// Check returns an error that wraps ErrMalformed if HTTP does not allow the head of an answer.
func Check(resp *http.Response) error {
	if err := checkStatus(resp.StatusCode); err != nil {
		return err
	}
	for name := range resp.Header {
		if !isToken(name) {
			return fmt.Errorf("%w: %.*q is no field name", ErrMalformed, maxErrorRunes, name)
		}
	}
	return nil
}

func checkStatus(status int) error {
	switch {
	case status < minStatus || status > maxStatus:
		return fmt.Errorf("%w: status %03d is not from %d to %d", ErrMalformed, status, minStatus, maxStatus)
	case status == http.StatusSwitchingProtocols:
		return fmt.Errorf("%w: it switches to a protocol that was not requested", ErrMalformed)
	}
	return nil
}

// tokenSymbols are the characters besides letters and digits that may stand in a token (RFC 9110, section 5.6.2).
const tokenSymbols = "!#$%&'*+-.^_`|~"

// isToken reports whether a text may be the name of a field.
func isToken(s string) bool { return s != "" && !strings.ContainsFunc(s, isNoTokenRune) }

func isNoTokenRune(r rune) bool {
	isLetter := 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z'
	isDigit := '0' <= r && r <= '9'
	return !isLetter && !isDigit && !strings.ContainsRune(tokenSymbols, r)
}
