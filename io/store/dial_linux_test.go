package store_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"snipeshed/core"
)

// TestGivenUpWhileConnecting guards against a write that is sent after its caller got an error that it had no effect, and
// against a breaker that stays closed although the store cannot be reached, because every caller's context ends before a
// connection is established.
func TestGivenUpWhileConnecting(t *testing.T) {
	is := is.New(t)
	var cfg net.ListenConfig
	cfg.SetMultipathTCP(false) // its sockets accept no filter
	ln, err := cfg.Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	raw, err := ln.(*net.TCPListener).SyscallConn()
	is.NoErr(err)
	drop := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K} // SYN packets are dropped, so connections are not even refused
	is.NoErr(raw.Control(func(fd uintptr) {
		is.NoErr(unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop}))
	}))
	s := newStore(t, "http://"+ln.Addr().String())
	for range 2 {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		_, err = s.Put(ctx, "a", nil, 0)
		cancel()
		is.True(err != nil && !core.MayHaveTakenEffect(err))
	}
	for began := time.Now(); s.Reachable(); time.Sleep(time.Millisecond) {
		if time.Since(began) > 5*time.Second {
			t.Fatal("the breaker did not open within 5 s")
		}
	}
	is.Equal(s.Counts()["put"], int64(2))
}
