package reset

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
)

// Conn is a connection whose Read fails after the connection has failed, also if a Write was told so first.
type Conn struct {
	net.Conn
	raw syscall.RawConn

	mu     sync.Mutex // held while a write may take the failure from the socket
	failed error      // the failure that the socket has reported
}

// NewConn returns a Conn for a connection of the operating system, and any other one unchanged.
func NewConn(c net.Conn) net.Conn {
	s, ok := c.(syscall.Conn)
	if !ok {
		return c
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return c // it is closed
	}
	return &Conn{Conn: c, raw: raw}
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// WrapDial returns a DialFunc whose connections are passed through NewConn.
func WrapDial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
}

// NetConn returns the connection that c wraps.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// SyscallConn returns the raw connection.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return c.raw, nil }

// Read reads from the connection.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	switch {
	case err == nil, errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, net.ErrClosed):
		return n, err
	case errors.Is(err, io.EOF):
		return n, c.endOfStream()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed = err
	return n, err
}

// endOfStream returns io.EOF, or the failure that was reported in place of an orderly end.
func (c *Conn) endOfStream() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed != nil {
		return c.failed
	}
	return io.EOF
}

// Write writes to the connection.
func (c *Conn) Write(b []byte) (int, error) {
	written := 0
	var failure error
	err := c.raw.Write(func(fd uintptr) bool {
		var n int
		n, failure = c.writeAvailable(int(fd), b[written:])
		written += n
		return !errors.Is(failure, syscall.EAGAIN)
	})
	if err == nil && failure != nil {
		err = c.writeError(failure)
	}
	return written, err
}

// writeAvailable writes what the socket takes without blocking. It records a failure before a read can return what comes after it.
func (c *Conn) writeAvailable(fd int, b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	written := 0
	for written < len(b) {
		n, err := syscall.Write(fd, b[written:])
		switch {
		case err == nil:
			written += n
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EPIPE):
			// EPIPE says that the other end closed the connection before it reset it, or that the failure was reported already.
			return written, err
		default:
			c.failed = c.writeError(err)
			return written, err
		}
	}
	return written, nil
}

// writeError returns the error that net.Conn returns for a failed write.
func (c *Conn) writeError(cause error) error {
	local := c.LocalAddr()
	return &net.OpError{Op: "write", Net: local.Network(), Source: local, Addr: c.RemoteAddr(), Err: os.NewSyscallError("write", cause)}
}
