package conns

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// headMemoryFactor is the memory that a parsed head takes, as a multiple of its bytes: each header of a few bytes becomes a string
// and an entry of a growing slice.
const headMemoryFactor = 8

// Limiter bounds the connections of one server. At its bounds it closes those that are least likely to carry a call: first the ones
// that have not sent a whole request yet, then idle ones.
type Limiter struct {
	maxConns int
	maxHeads int64 // bytes of memory
	onClose  func(Reason)

	mu      sync.Mutex
	conns   map[*conn]struct{}
	heads   int64     // memory of all heads, also of those whose calls are being served
	closing totals    // of the connections that were closed here and that the server has not let go yet
	changed sync.Cond // closing has become less
}

// totals are a number of connections and the memory of their heads.
type totals struct {
	conns int
	heads int64
}

// closingShare is the part of each bound that connections may take beyond it while they are being closed. The server lets go of a
// closed connection a little later; until then, further ones wait.
const closingShare = 0.25

// Reason is why a connection was closed or a request refused.
type Reason string

// Values of Reason.
const (
	ReasonTooMany Reason = "connections" // there were too many connections
	ReasonHeads   Reason = "heads"       // request heads took too much memory
)

// Option configures a Limiter.
type Option func(*Limiter)

// WithCloseHook sets a function that is called for each connection that is closed and each request that is refused.
func WithCloseHook(fn func(Reason)) Option { return func(l *Limiter) { l.onClose = fn } }

// New returns a Limiter for at most maxConns connections whose request heads take at most maxHeads bytes of memory.
func New(maxConns int, maxHeads int64, opts ...Option) *Limiter {
	l := &Limiter{maxConns: maxConns, maxHeads: maxHeads, onClose: func(Reason) {}, conns: map[*conn]struct{}{}}
	l.changed.L = &l.mu
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Apply makes a server that has its handler and its ConnState hook, and is not serving yet, keep the bounds on the connections of
// Listen.
func (l *Limiter) Apply(s *http.Server) {
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	track, handler := s.ConnState, s.Handler
	s.ConnState = func(nc net.Conn, state http.ConnState) {
		if c, ok := nc.(*conn); ok && state == http.StateIdle { // what the server has left of the last body is no head
			l.endCall(c)
		}
		if track != nil {
			track(nc, state)
		}
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			handler.ServeHTTP(w, r)
			return
		}
		if !l.beginCall(c) {
			l.onClose(ReasonHeads)
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", retryAfter)
			w.WriteHeader(http.StatusServiceUnavailable) // the call has not run
			return
		}
		handler.ServeHTTP(w, r)
	})
}

// retryAfter is the time in s after which a refused caller may come back.
const retryAfter = "1"

type connKey struct{}

// Listen returns a listener whose connections the Limiter bounds.
func (l *Limiter) Listen(ln net.Listener) net.Listener { return &listener{Listener: ln, limiter: l} }

// Conns returns the number of open connections.
func (l *Limiter) Conns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// add adds a connection and closes another one if there are too many.
func (l *Limiter) add(nc net.Conn) *conn {
	c := &conn{Conn: nc, limiter: l, since: time.Now()}
	l.mu.Lock()
	for l.closing.conns > int(closingShare*float64(l.maxConns)) {
		l.changed.Wait()
	}
	l.conns[c] = struct{}{}
	var worst *conn
	if len(l.conns) > l.maxConns {
		worst = l.longestWaiting()
		l.startClosing(worst)
	}
	l.mu.Unlock()
	if worst != nil {
		l.onClose(ReasonTooMany)
		_ = worst.Conn.Close() // the client has closed it already if this fails
	}
	return c
}

// longestWaiting returns the connection without a call that waits longest for a head, or for another one if each has sent one; with
// calls on all connections, it is the newest connection.
func (l *Limiter) longestWaiting() *conn {
	var worst *conn
	for c := range l.conns {
		if worst == nil || c.worseThan(worst) {
			worst = c
		}
	}
	return worst
}

// countHead counts bytes of a head that is being read, and closes the connections with the largest unfinished heads while all take
// too much memory.
func (l *Limiter) countHead(c *conn, n int) {
	l.mu.Lock()
	var closed []*conn
	if _, open := l.conns[c]; open && !c.inCall {
		c.head += int64(n) * headMemoryFactor
		l.heads += int64(n) * headMemoryFactor
		for l.heads > l.maxHeads {
			largest := l.largestHead()
			if largest == nil {
				break
			}
			l.startClosing(largest)
			closed = append(closed, largest)
		}
	}
	l.mu.Unlock()
	for _, c := range closed {
		l.onClose(ReasonHeads)
		_ = c.Conn.Close()
	}
	l.awaitClosing(c)
}

// isClosing reports whether the Limiter has closed a connection.
func (l *Limiter) isClosing(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return c.closing
}

// awaitClosing makes a connection that is not being closed wait until the heads of those that are take little memory.
func (l *Limiter) awaitClosing(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for !c.closing && l.closing.heads > int64(closingShare*float64(l.maxHeads)) {
		l.changed.Wait()
	}
}

// largestHead returns the connection with the largest head that is not complete, or nil.
func (l *Limiter) largestHead() *conn {
	var largest *conn
	for c := range l.conns {
		if !c.inCall && c.head > 0 && (largest == nil || c.head > largest.head) {
			largest = c
		}
	}
	return largest
}

// beginCall records that the head of a call is complete, and reports whether the heads fit.
func (l *Limiter) beginCall(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.inCall, c.served = true, true
	if c.closing {
		return false
	}
	l.heads -= c.head - c.head/parsedDivisor
	c.head /= parsedDivisor
	return l.heads <= l.maxHeads
}

// parsedDivisor is the part of its memory that a head still takes once it is parsed, as a divisor.
const parsedDivisor = 4

// endCall records that a call has ended and that its connection waits for the next one.
func (l *Limiter) endCall(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case c.closing:
		l.closing.heads -= c.head
		l.changed.Broadcast()
	default:
		l.heads -= c.head
	}
	c.inCall, c.head, c.since = false, 0, time.Now()
}

// startClosing stops counting a connection, which is being closed, towards the bounds; l.mu is held.
func (l *Limiter) startClosing(c *conn) {
	delete(l.conns, c)
	l.heads -= c.head
	l.closing.conns++
	l.closing.heads += c.head
	c.closing = true
	l.changed.Broadcast() // it may wait itself
}

// forget stops counting a connection that the server has let go.
func (l *Limiter) forget(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case c.gone:
		return
	case c.closing:
		l.closing.conns--
		l.closing.heads -= c.head
		l.changed.Broadcast()
	default:
		delete(l.conns, c)
		l.heads -= c.head
	}
	c.gone, c.head = true, 0
}
