package entry

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// timedBody is a request body that must arrive within a timeout.
//
// The read deadline is set at the first read and not earlier: net/http reads ahead on the
// connection of a request without a body, so a passing deadline would cancel that request.
type timedBody struct {
	io.ReadCloser

	conn        *http.ResponseController
	timeout     time.Duration
	reservation *reservation
	started     bool
}

// Read reads from the body; it sets the read deadline at the first call and clears it at the end of the body.
func (b *timedBody) Read(p []byte) (int, error) {
	if !b.started {
		b.started = true
		_ = b.conn.SetReadDeadline(time.Now().Add(b.timeout)) // some response writers do not support deadlines
	}
	n, err := b.ReadCloser.Read(p)
	if full := b.reservation.reserveRead(int64(n)); full != nil {
		return 0, full
	}
	if errors.Is(err, io.EOF) {
		// After any other error the deadline stays set, because net/http reads the rest of the body before it responds.
		_ = b.conn.SetReadDeadline(time.Time{}) // as above
	}
	return n, err
}
