package link_test

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"snipeshed/conf"
	"snipeshed/io/head"
	"snipeshed/io/link"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func defaultSettings() *conf.Settings {
	cfg := &conf.Settings{}
	conf.SetDefaults(cfg)
	return cfg
}

// startPeerServer returns the address and the Network of a peer server that responds with the protocol of the request.
func startPeerServer(t *testing.T) (string, *link.Network) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := link.New(defaultSettings())
	s := l.PeerServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.Proto) }))
	served := make(chan error, 1)
	go func() { served <- s.Serve(l.CountingListener(ln)) }()
	t.Cleanup(func() {
		is.NoErr(s.Close())
		is.Equal(<-served, http.ErrServerClosed)
	})
	return ln.Addr().String(), l
}

func get(is *is.I, c *http.Client, address string) string {
	is.Helper()
	resp, err := c.Get("http://" + address)
	is.NoErr(err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	return string(b)
}

// TestPings guards against pings on digest connections, which would make up a sixth of the control traffic, and against
// call connections without pings, on which an owner never detects an unreachable entry instance.
func TestPings(t *testing.T) {
	for name, c := range map[string]struct {
		client      func(*link.Network) *http.Client
		least, most int64
	}{
		// A ping and its acknowledgment are 34 bytes; the client pings the server as well.
		"digests": {(*link.Network).DigestClient, 0, 0},
		"calls":   {(*link.Network).PeerClient, 2 * 34, 6 * 34},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			address, l := startPeerServer(t)
			client := c.client(link.New(defaultSettings()))
			t.Cleanup(client.CloseIdleConnections)
			is.Equal(get(is, client, address), "HTTP/2.0")
			time.Sleep(500 * time.Millisecond) // until the HTTP/2 settings are acknowledged
			sent, received := l.Bytes()
			before := sent + received
			time.Sleep(2500 * time.Millisecond)
			sent, received = l.Bytes()
			n := sent + received - before
			t.Logf("bytes=%d", n)
			is.True(n >= c.least)
			is.True(n <= c.most)
		})
	}
}

// TestServerDetectsSilentClient guards against a server that keeps a call connection whose client is unreachable: the call must
// end within the bound of 2 s for silent connections.
func TestServerDetectsSilentClient(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ended := make(chan time.Time, 1)
	s := link.New(defaultSettings()).PeerServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		ended <- time.Now()
	}))
	s.SetErrorLog(log.New(io.Discard, "", 0)) // discard the error of the unanswered ping
	go func() { _ = s.Serve(ln) }()
	defer s.Close()
	silent := &silentConn{gone: make(chan struct{})}
	client := link.New(defaultSettings()).PeerClient()
	tr := client.Transport.(*head.Transport).RoundTripper.(*http.Transport)
	dial := tr.DialContext
	tr.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		silent.Conn = c
		return silent, err
	}
	resp, err := client.Get("http://" + ln.Addr().String())
	is.NoErr(err)
	defer resp.Body.Close()
	began := time.Now()
	close(silent.gone)
	select {
	case at := <-ended:
		t.Logf("found after %v", at.Sub(began))
		is.True(at.Sub(began) < 2500*time.Millisecond)
	case <-time.After(5 * time.Second):
		t.Fatal("the server did not notice that the client is silent")
	}
	_ = silent.Conn.Close()
}

// silentConn is a connection that discards what is written after gone is closed, and stays open.
type silentConn struct {
	net.Conn
	gone chan struct{}
}

// Write writes b, or discards it after gone is closed.
func (c *silentConn) Write(b []byte) (int, error) {
	select {
	case <-c.gone:
		return len(b), nil
	default:
		return c.Conn.Write(b)
	}
}

// Close does nothing, so that the server does not see the connection end.
func (c *silentConn) Close() error { return nil }

// TestUnmarkedConnections guards against clients that send nothing and thereby block other connections or the close of
// the server, and against refusing HTTP/1.1 clients.
func TestUnmarkedConnections(t *testing.T) {
	is := is.New(t)
	address, _ := startPeerServer(t)
	for range 3 {
		c, err := net.Dial("tcp", address)
		is.NoErr(err)
		defer c.Close()
	}
	plain := link.New(defaultSettings()).PlatformClient()
	t.Cleanup(plain.CloseIdleConnections)
	is.Equal(get(is, plain, address), "HTTP/1.1")
	digests := link.New(defaultSettings()).DigestClient()
	t.Cleanup(digests.CloseIdleConnections)
	resp, err := digests.Post("http://"+address, "text/plain", strings.NewReader("a"))
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
}

// TestPeerServerShutdown guards against a shutdown that leaves one of the two servers running.
func TestPeerServerShutdown(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := link.New(defaultSettings()).PeerServer(http.NotFoundHandler())
	served := make(chan error, 1)
	go func() { served <- s.Serve(ln) }()
	for _, client := range []*http.Client{link.New(defaultSettings()).DigestClient(), link.New(defaultSettings()).PeerClient()} {
		get(is, client, ln.Addr().String())
		defer client.CloseIdleConnections()
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	is.NoErr(s.Shutdown(ctx))
	is.Equal(<-served, http.ErrServerClosed)
	_, err = net.Dial("tcp", ln.Addr().String())
	is.True(err != nil)
}

// TestPeerServerListenerFails guards against Serve not returning the error of a failed listener.
func TestPeerServerListenerFails(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(ln.Close())
	s := link.New(defaultSettings()).PeerServer(http.NotFoundHandler())
	defer s.Close()
	err = s.Serve(ln)
	is.True(err != nil)
	is.True(!errors.Is(err, http.ErrServerClosed))
}
