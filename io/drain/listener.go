package drain

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// acceptTimeout limits the wait for each further connection in the accept queue of a listener that is about to close.
const acceptTimeout = 20 * time.Millisecond

// deadlineListener is a listener whose blocked Accept can be interrupted without closing the listener.
type deadlineListener interface {
	SetDeadline(t time.Time) error
}

// listener accepts the connections in the accept queue before it closes.
type listener struct {
	net.Listener
	stopping  atomic.Bool
	closed    chan struct{}
	closeOnce sync.Once
}

func newListener(ln net.Listener) *listener {
	return &listener{Listener: ln, closed: make(chan struct{})}
}

// closeAfterQueue makes Accept return the connections that are in the accept queue and then close the listener.
func (l *listener) closeAfterQueue() {
	l.stopping.Store(true)
	if d, ok := l.Listener.(deadlineListener); ok {
		_ = d.SetDeadline(time.Now()) // fails only if the listener is closed already
		return
	}
	_ = l.Close() // without a deadline, Accept cannot stop at the end of the queue
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	// The first timeout may come from the deadline that closeAfterQueue sets, before the queue has been read, so only the
	// second one shows that the queue is empty.
	for timeouts := 0; ; {
		if d, ok := l.Listener.(deadlineListener); ok && l.stopping.Load() {
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

// Close closes the listener and drops the connections in the accept queue.
func (l *listener) Close() (err error) {
	l.closeOnce.Do(func() {
		err = l.Listener.Close()
		close(l.closed)
	})
	return err
}
