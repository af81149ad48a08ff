package drain

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// acceptTimeout bounds the wait for one more connection in the queue of a listener that closes.
const acceptTimeout = 20 * time.Millisecond

// deadliner is a listener whose waiting Accept can be ended without closing it.
type deadliner interface {
	SetDeadline(t time.Time) error
}

// listener accepts the connections in its queue before it closes.
type listener struct {
	net.Listener
	stopping atomic.Bool
	closed   chan struct{}
	once     sync.Once
}

func newListener(ln net.Listener) *listener {
	return &listener{Listener: ln, closed: make(chan struct{})}
}

// stop makes Accept return the connections in the queue and then close the listener.
func (l *listener) stop() {
	l.stopping.Store(true)
	if d, ok := l.Listener.(deadliner); ok {
		_ = d.SetDeadline(time.Now()) // fails only when the listener is closed
		return
	}
	_ = l.Close() // the queue cannot be emptied
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	// The first timeout may be that of stop, before the queue was looked at.
	for timeouts := 0; ; {
		if d, ok := l.Listener.(deadliner); ok && l.stopping.Load() {
			_ = d.SetDeadline(time.Now().Add(acceptTimeout))
		}
		c, err := l.Listener.Accept()
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) || !l.stopping.Load() {
			return c, err
		}
		if timeouts++; timeouts == 2 {
			_ = l.Close()
			return nil, net.ErrClosed
		}
	}
}

// Close closes the listener with the connections in its queue.
func (l *listener) Close() (err error) {
	l.once.Do(func() {
		err = l.Listener.Close()
		close(l.closed)
	})
	return err
}
