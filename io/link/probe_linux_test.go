package link_test

import (
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/conf"
	"snipeshed/io/link"
	standlink "snipeshed/stand/link"
)

// TestProbedConn guards against a dead connection that is detected late or never, and against a live one reported as dead
// because its application is slow. The application here never accepts the connection, so only its kernel answers.
func TestProbedConn(t *testing.T) {
	t.Parallel()
	const (
		bound = 3 * time.Second
		// live exceeds the delay between the fourth and the fifth zero-window probe, about 3.2 s.
		live = 7 * time.Second
		// windowFilling is the size of a request that exceeds the buffers of both ends, so that the window closes.
		windowFilling = 32 << 20
	)
	for _, tt := range []struct {
		name       string
		write      int // bytes
		blackholed bool
		after      bool // whether the bytes are written after the link stopped forwarding
	}{
		{name: "live and idle", write: 100},
		{name: "live, request not taken whole", write: windowFilling},
		{name: "silent after the request", write: 100, blackholed: true},
		{name: "silent before the request", write: 100, blackholed: true, after: true},
		{name: "silent while the request is sent", write: windowFilling, blackholed: true, after: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer ln.Close()
			l := standlink.New(ln.Addr().String())
			is.NoErr(l.Start())
			defer l.Close()
			cfg := &conf.Settings{}
			conf.SetDefaults(cfg)
			address := ln.Addr().String()
			if tt.blackholed {
				address = l.Addr()
			}
			conn, err := link.New(cfg).ApplicationClient().Transport.(*http.Transport).DialContext(t.Context(), "tcp", address)
			is.NoErr(err)
			defer conn.Close()
			write := func() { _, _ = conn.Write(make([]byte, tt.write)) } // a large write blocks until the connection is closed
			if !tt.after {
				go write()
			}
			if tt.blackholed {
				far, err := ln.Accept() // by now the link forwards the connection
				is.NoErr(err)
				defer far.Close()
				is.NoErr(l.Blackhole())
			}
			began := time.Now()
			if tt.after {
				go write()
			}
			failed := make(chan error, 1)
			go func() {
				_, err := conn.Read(make([]byte, 1))
				failed <- err
			}()
			select {
			case err = <-failed:
				t.Logf("%v after %s", err, time.Since(began))
				is.True(tt.blackholed)
				is.True(errors.Is(err, link.ErrSilent))
				is.True(time.Since(began) <= bound)
			case <-time.After(live):
				is.True(!tt.blackholed)
			}
		})
	}
}
