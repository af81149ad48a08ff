package sock

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"snipeshed/io/reset"
)

const (
	// unackedTimeout is the time for which sent data may stay unacknowledged before the connection is closed.
	unackedTimeout = 1500 * time.Millisecond
	// Keep-alive probes start when a connection is idle for probeIdle and repeat every probeInterval; the connection is
	// closed after probeCount probes without a reply.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
)

// Dialer opens connections that are closed within seconds after the peer stops responding.
type Dialer struct{ dial reset.DialFunc }

// New returns a Dialer with the given timeout for connection attempts.
func New(timeout time.Duration) *Dialer {
	d := &net.Dialer{
		Timeout: timeout, Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
	}
	return &Dialer{reset.WrapDial(d.DialContext)}
}

// DialContext opens a connection whose reader sees its failure, as package reset describes.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return d.dial(ctx, network, address)
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// A system without TCP_USER_TIMEOUT still has keep-alive probes and the timeouts of calls.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
}
