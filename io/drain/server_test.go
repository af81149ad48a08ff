package drain_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"snipeshed/io/drain"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const request = "GET / HTTP/1.1\r\nHost: test\r\n\r\n"

// delayedListener delays Accept, as on a busy machine.
type delayedListener struct {
	*net.TCPListener
	accept chan struct{}
}

// Accept waits until the channel accept is closed.
func (l *delayedListener) Accept() (net.Conn, error) {
	<-l.accept
	return l.TCPListener.Accept()
}

// TestShutdown guards against connections that are closed without an answer because the server shuts down.
func TestShutdown(t *testing.T) {
	for _, tt := range []struct {
		name   string
		before string // sent before Shutdown
		after  string // sent after Shutdown has begun
		queued bool   // the connections are in the accept queue when Shutdown begins
		closed bool   // the connections are closed without an answer
	}{
		{name: "request sent, connection not accepted", before: request, queued: true},
		{name: "request sent after Shutdown began, connection not accepted", after: request, queued: true},
		{name: "request sent after Shutdown began", after: request},
		{name: "request sent in part", before: request[:10], after: request[10:]},
		{name: "no request", closed: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			l := &delayedListener{TCPListener: ln.(*net.TCPListener), accept: make(chan struct{})}
			d := drain.New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, "refused")
			})})
			served := make(chan error, 1)
			go func() { served <- d.Serve(l) }()
			if !tt.queued {
				close(l.accept)
			}
			conns := make([]net.Conn, 20)
			for i := range conns {
				conns[i], err = net.Dial("tcp", ln.Addr().String())
				is.NoErr(err)
				defer conns[i].Close()
				_, err = io.WriteString(conns[i], tt.before)
				is.NoErr(err)
			}
			time.Sleep(100 * time.Millisecond) // lets the server accept connections, unless Accept is delayed

			stopped := make(chan error, 1)
			start := time.Now()
			go func() {
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				err := d.Shutdown(ctx)
				stopped <- errors.Join(err, d.Close())
			}()
			time.Sleep(100 * time.Millisecond)
			for _, c := range conns {
				_, err = io.WriteString(c, tt.after)
				is.NoErr(err)
			}
			if tt.queued {
				close(l.accept)
			}
			for i, c := range conns {
				_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
				b, err := io.ReadAll(c)
				is.NoErr(err)
				answered := strings.Contains(string(b), "Connection: close") && strings.HasSuffix(string(b), "refused")
				if answered == tt.closed {
					t.Errorf("connection %d got %q", i, b)
				}
			}
			err = <-stopped
			is.Equal(errors.Is(err, context.DeadlineExceeded), tt.closed)
			is.Equal(<-served, http.ErrServerClosed)
			is.True(time.Since(start) < 3*time.Second)
		})
	}
}

// TestCloseAfterNextAnswer guards against keep-alive connections that stay open, on which a load balancer sends another
// request while the server shuts down.
func TestCloseAfterNextAnswer(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	d := drain.New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") })})
	served := make(chan error, 1)
	go func() { served <- d.Serve(ln) }()
	c := &http.Client{Transport: &http.Transport{}}
	defer c.CloseIdleConnections()
	for _, closeAfterNext := range []bool{false, true} {
		if closeAfterNext {
			d.CloseAfterNextAnswer()
		}
		resp, err := c.Get("http://" + ln.Addr().String())
		is.NoErr(err)
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(errors.Join(err, resp.Body.Close()))
		is.Equal(resp.Close, closeAfterNext)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	is.NoErr(d.Shutdown(ctx))
	is.Equal(<-served, http.ErrServerClosed)
}
