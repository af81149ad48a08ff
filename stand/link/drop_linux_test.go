package link_test

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"snipeshed/stand/link"
)

// TestBlackhole guards against a black hole whose kernel still acknowledges packets, so that no probe would detect it.
func TestBlackhole(t *testing.T) {
	c := &caller{I: is.New(t), Link: link.New(echo(t, new(atomic.Int64)))}
	c.NoErr(c.Start())
	defer c.Close()
	conn := c.dial()
	c.NoErr(c.ping(conn, time.Second))
	c.NoErr(c.Blackhole())
	c.True(errors.Is(c.ping(conn, silence), os.ErrDeadlineExceeded))
	raw, err := conn.(*net.TCPConn).SyscallConn()
	c.NoErr(err)
	c.NoErr(raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		c.NoErr(err)
		c.True(info.Unacked > 0)
	}))
	c.NoErr(c.ping(c.dial(), time.Second))
	c.NoErr(c.Restore())
	c.NoErr(c.await(conn, 5*time.Second)) // until the kernel retransmits
}
