package dial

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"snipeshed/core"
)

const (
	readBufferBytes = 4 << 10
	// ownAnswerTimeout is the time after a refusal without an id within which the response to the current request must
	// begin. If none does, the refusal probably was the response, but the call may have run.
	ownAnswerTimeout = 500 * time.Millisecond
)

// conn is a connection to an endpoint that carries one request at a time.
type conn struct {
	net.Conn
	head     *headReader
	br       *bufio.Reader
	requests int             // requests sent, the current one included
	written  atomic.Int64    // bytes of the current request that were written
	skipped  []SkippedAnswer // responses to other requests that arrived during the current one
	// ownAnswerBy is the end of the wait for the current request's own response; zero while there is none.
	ownAnswerBy time.Time
	idleSince   time.Time     // when the last response ended
	keepAlive   time.Duration // longest idle time after which it may be reused
}

func newConn(c net.Conn) *conn {
	head := &headReader{r: c}
	return &conn{Conn: c, head: head, br: bufio.NewReaderSize(head, readBufferBytes), keepAlive: defaultKeepAlive}
}

// startRequest resets what is recorded for each request.
func (c *conn) startRequest() {
	c.requests++
	c.written.Store(0)
	c.skipped = nil
	c.ownAnswerBy = time.Time{}
}

// answers reports whether a response belongs to the current request, whose id is given. A response without an id counts only
// as the first on the connection, because a later one may repeat an earlier response, and only if it is a refusal or the
// request has no id either.
func (c *conn) answers(reply core.ReplyHeaders, id core.AttemptID) bool {
	if reply.ID != "" {
		return reply.ID == id
	}
	return c.onlyOwnAnswers() && (reply.NotRun || id == "")
}

// onlyOwnAnswers reports whether the next response can only belong to the current request: it is the first on the connection.
func (c *conn) onlyOwnAnswers() bool { return c.requests == 1 && len(c.skipped) == 0 }

// startOwnAnswerWait limits the time until the head of the current request's own response, after a refusal that may belong to
// this request or to an earlier one.
func (c *conn) startOwnAnswerWait() {
	c.ownAnswerBy = time.Now().Add(ownAnswerTimeout)
	_ = c.SetReadDeadline(c.ownAnswerBy)
}

// endOwnAnswerWait removes the limit of startOwnAnswerWait.
func (c *conn) endOwnAnswerWait() { _ = c.SetReadDeadline(time.Time{}) }

// Write writes to the connection and counts the bytes that the kernel accepted.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// usable reports whether an idle connection may carry another request: it was not idle for too long, is still open, and has
// received nothing since its last response.
func (c *conn) usable(now time.Time, maxIdle time.Duration) bool {
	if now.Sub(c.idleSince) > min(c.keepAlive, maxIdle) || c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var readErr error
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		var n int
		n, readErr = syscall.Read(int(fd), b[:])
		if n > 0 {
			readErr = errUnexpectedData
		} else if n == 0 && readErr == nil {
			readErr = io.EOF
		}
		return true
	})
	return err == nil && errors.Is(readErr, syscall.EAGAIN)
}

var errUnexpectedData = errors.New("the endpoint sent data after the end of its response")
