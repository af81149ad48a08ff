package conns

import (
	"net"
	"time"
)

// listener accepts connections that a Limiter bounds.
type listener struct {
	net.Listener
	limiter *Limiter
}

// Accept returns the next connection.
func (ln *listener) Accept() (net.Conn, error) {
	c, err := ln.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return ln.limiter.add(c), nil
}

// SetDeadline sets the deadline of Accept, if the listener has one.
func (ln *listener) SetDeadline(t time.Time) error {
	if d, ok := ln.Listener.(interface{ SetDeadline(t time.Time) error }); ok {
		return d.SetDeadline(t)
	}
	return nil
}

// conn is a connection of a caller; the Limiter's mutex guards its state.
type conn struct {
	net.Conn
	limiter *Limiter
	since   time.Time // when it was accepted, or when its last call ended
	served  bool      // it has sent a whole head
	inCall  bool
	head    int64 // memory of the head that is being read, or of the call's
	closing bool  // the Limiter has closed it
	gone    bool  // the server has let it go
}

// worseThan reports whether c should be closed rather than o when there are too many connections.
func (c *conn) worseThan(o *conn) bool {
	switch {
	case c.inCall != o.inCall:
		return !c.inCall
	case c.inCall:
		return c.since.After(o.since)
	case c.served != o.served:
		return !c.served
	default:
		return c.since.Before(o.since)
	}
}

// Read reads from the connection and counts what belongs to a head.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.limiter.countHead(c, n)
	}
	if n > 0 && c.limiter.isClosing(c) {
		return 0, net.ErrClosed // its call must not run
	}
	return n, err
}

// Close closes the connection.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.limiter.forget(c)
	return err
}
