package sock_test

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"snipeshed/io/sock"
)

// TestOptions guards against connections on which an unresponsive peer stays undetected for minutes, as with the operating
// system's default settings.
func TestOptions(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	c, err := sock.New(time.Second).DialContext(context.Background(), "tcp", ln.Addr().String())
	is.NoErr(err)
	defer c.Close()
	raw, err := c.(syscall.Conn).SyscallConn()
	is.NoErr(err)
	option := func(name int) (value int) {
		is.NoErr(raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name) }))
		is.NoErr(err)
		return value
	}
	is.True(option(unix.TCP_USER_TIMEOUT) <= 1500)                                              // ms
	is.True(option(unix.TCP_KEEPIDLE)+option(unix.TCP_KEEPINTVL)*option(unix.TCP_KEEPCNT) <= 3) // s
}
