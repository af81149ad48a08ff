package sock

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
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

// Dialer is a net.Dialer whose connections are closed within seconds after the peer stops responding.
type Dialer struct{ net.Dialer }

// New returns a Dialer with the given timeout for connection attempts.
func New(timeout time.Duration) *Dialer {
	return &Dialer{net.Dialer{
		Timeout: timeout, Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
	}}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// A system without TCP_USER_TIMEOUT still has keep-alive probes and the timeouts of calls.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
}
