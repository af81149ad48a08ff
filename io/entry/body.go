package entry

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// timedBody bounds the time in which a body arrives and ends the bound with the body.
//
// Setting the deadline for a request without a body would cancel the request when
// it passes: net/http is already waiting for the connection's next byte by then.
type timedBody struct {
	io.ReadCloser

	conn     *http.ResponseController
	timeout  time.Duration
	reserved *reservation
	started  bool
}

// Read sets the deadline at the first read and removes it at the end.
func (b *timedBody) Read(p []byte) (int, error) {
	if !b.started {
		b.started = true
		_ = b.conn.SetReadDeadline(time.Now().Add(b.timeout)) // not every writer has deadlines
	}
	n, err := b.ReadCloser.Read(p)
	if full := b.reserved.read(int64(n)); full != nil {
		return 0, full
	}
	if errors.Is(err, io.EOF) {
		// After another error the deadline stays, because net/http reads the rest of the body before it answers.
		_ = b.conn.SetReadDeadline(time.Time{}) // as above
	}
	return n, err
}
