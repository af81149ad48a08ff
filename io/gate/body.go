package gate

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"snipeshed/io/event"
)

const (
	// firstBodyBytes is the size of the buffer for a body of unknown length; it is doubled as the body grows.
	firstBodyBytes = 4 << 10
	// maxBodyWait and maxBodyWaitShare, a share of the time left, bound the time for which a call waits until its body may be read.
	maxBodyWait      = time.Second
	maxBodyWaitShare = 0.33
)

var errNoBodyRoom = errors.New("no memory for the body became free in time")

// readBody reads the whole body, so that the call can be retried where that is allowed, and reports whether it succeeded. The memory
// that it has taken is in c.bodyBytes.
func (c *call) readBody() bool {
	limit := c.table.Limits.MaxBodyBytes()
	if c.r.ContentLength > limit {
		c.deny(http.StatusRequestEntityTooLarge, "the body is larger than the configuration allows")
		return false
	}
	rc := http.NewResponseController(c.w)
	_ = rc.SetReadDeadline(c.end) // a connection that supports no deadlines is still bounded by the context
	err := c.readWhole(http.MaxBytesReader(c.w, c.r.Body, limit), limit)
	_ = rc.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return true
	case errors.Is(err, errNoBodyRoom):
		c.refuse(reasonBodyBytes, busyRetryAfter)
		return false
	case errors.As(err, &tooLarge):
		c.deny(http.StatusRequestEntityTooLarge, "the body is larger than the configuration allows")
		return false
	default:
		c.g.Log.EmitRequest(event.CallerLeft, c.ID, event.Fields{"while": "reading the body", "error": err})
		panic(http.ErrAbortHandler)
	}
}

// readWhole reads a body of at most limit bytes into c.body. It takes the memory before it reads: for a body of unknown length first that
// of a small one, then that of the largest one, so that bodies that have begun never wait for each other.
func (c *call) readWhole(body io.Reader, limit int64) error {
	wait := time.Duration(maxBodyWaitShare * float64(time.Until(c.end)))
	ctx, cancel := context.WithTimeout(c.ctx, min(maxBodyWait, wait))
	defer cancel()
	defer c.giveUnused()
	sizes := []int64{c.r.ContentLength}
	if c.r.ContentLength < 0 {
		sizes = []int64{min(smallBodyBytes, limit), limit + 1} // the last byte shows that the body is too large
	}
	for _, size := range sizes {
		if !c.g.bodies.grow(ctx, c.bodyBytes, size) {
			c.body, c.bodyBytes = nil, 0
			return errNoBodyRoom
		}
		c.bodyBytes = size
		if ended, err := c.fillBody(body, size); ended || err != nil {
			return err
		}
	}
	return nil
}

// fillBody reads until c.body has size bytes, and reports whether the body has ended before.
func (c *call) fillBody(body io.Reader, size int64) (ended bool, err error) {
	for int64(len(c.body)) < size {
		if len(c.body) == cap(c.body) {
			c.body = append(make([]byte, 0, c.nextBodyCap(size)), c.body...)
		}
		n, err := body.Read(c.body[len(c.body):cap(c.body)])
		c.body = c.body[:len(c.body)+n]
		if errors.Is(err, io.EOF) {
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
	return false, nil
}

// nextBodyCap returns the next size of the buffer for a body of at most size bytes.
func (c *call) nextBodyCap(size int64) int64 {
	if c.r.ContentLength >= 0 {
		return size
	}
	return min(max(firstBodyBytes, 2*int64(cap(c.body))), size)
}

// giveUnused gives back what was taken beyond the size of the buffer.
func (c *call) giveUnused() {
	c.g.bodies.give(c.bodyBytes - int64(cap(c.body)))
	c.bodyBytes = int64(cap(c.body))
}

// HeldBodyBytes returns the memory that request bodies have taken.
func (g *Gate) HeldBodyBytes() int64 {
	g.bodies.mu.Lock()
	defer g.bodies.mu.Unlock()
	return g.bodies.taken
}
