package sock

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unackedTimeout ends a connection whose other end acknowledges nothing.
	unackedTimeout = 1500 * time.Millisecond
	// An idle connection is probed after probeIdle, every probeInterval, and ends after probes without an answer.
	probeIdle     = time.Second
	probeInterval = time.Second
	probes        = 2
)

// Dialer is a net.Dialer whose connections end soon after their other end has gone silent.
type Dialer struct{ net.Dialer }

// New returns a Dialer that gives up a connection attempt after a timeout.
func New(timeout time.Duration) *Dialer {
	return &Dialer{net.Dialer{
		Timeout: timeout, Control: limitUnacked,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probes},
	}}
}

func limitUnacked(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// A system without the option still has the probes and the timeouts of the calls.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
}
