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
	"snipeshed/io/link"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func settings() *conf.Settings {
	cfg := &conf.Settings{}
	conf.SetDefaults(cfg)
	return cfg
}

// serve returns the address of a peer server that answers with the protocol, and its Link.
func serve(t *testing.T) (string, *link.Link) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := link.New(settings())
	s := l.PeerServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.Proto) }))
	served := make(chan error, 1)
	go func() { served <- s.Serve(l.Listener(ln)) }()
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

// Guards against pings on connections of digests, which would use up a sixth of the control traffic, and against a
// connection of calls without them, on which an owner never notices that the entry fell silent.
func TestPings(t *testing.T) {
	for name, c := range map[string]struct {
		client      func(*link.Link) *http.Client
		least, most int64
	}{
		// A ping and its answer are 34 bytes; the client's own pings come to the server as well.
		"digests": {(*link.Link).DigestClient, 0, 0},
		"calls":   {(*link.Link).PeerClient, 2 * 34, 6 * 34},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			address, l := serve(t)
			client := c.client(link.New(settings()))
			t.Cleanup(client.CloseIdleConnections)
			is.Equal(get(is, client, address), "HTTP/2.0")
			time.Sleep(500 * time.Millisecond) // the settings are acknowledged
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

// Guards against a connection of calls whose client fell silent and that the server keeps: the answer must end
// within the bound of 2 s for silent connections.
func TestServerFindsSilentCall(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ended := make(chan time.Time, 1)
	s := link.New(settings()).PeerServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		ended <- time.Now()
	}))
	s.SetErrorLog(log.New(io.Discard, "", 0)) // the ping that is not answered
	go func() { _ = s.Serve(ln) }()
	defer s.Close()
	silent := &silentConn{gone: make(chan struct{})}
	client := link.New(settings()).PeerClient()
	tr := client.Transport.(*http.Transport)
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

// silentConn loses what is written once it is gone; it stays open.
type silentConn struct {
	net.Conn
	gone chan struct{}
}

// Write passes bytes on or loses them.
func (c *silentConn) Write(b []byte) (int, error) {
	select {
	case <-c.gone:
		return len(b), nil
	default:
		return c.Conn.Write(b)
	}
}

// Close leaves the connection open, as the other end hears nothing of it.
func (c *silentConn) Close() error { return nil }

// Guards against clients that send nothing and thereby keep others from connecting or the server from closing, and
// against clients of HTTP/1.1 that are refused.
func TestUnmarkedConnections(t *testing.T) {
	is := is.New(t)
	address, _ := serve(t)
	for range 3 {
		c, err := net.Dial("tcp", address)
		is.NoErr(err)
		defer c.Close()
	}
	plain := link.New(settings()).EndpointClient()
	t.Cleanup(plain.CloseIdleConnections)
	is.Equal(get(is, plain, address), "HTTP/1.1")
	digests := link.New(settings()).DigestClient()
	t.Cleanup(digests.CloseIdleConnections)
	resp, err := digests.Post("http://"+address, "text/plain", strings.NewReader("a"))
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
}

// Guards against a shutdown that leaves one of the two servers serving.
func TestPeerServerShutdown(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := link.New(settings()).PeerServer(http.NotFoundHandler())
	served := make(chan error, 1)
	go func() { served <- s.Serve(ln) }()
	for _, client := range []*http.Client{link.New(settings()).DigestClient(), link.New(settings()).PeerClient()} {
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

// Guards against a failed listener that Serve hides.
func TestPeerServerListenerFails(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(ln.Close())
	s := link.New(settings()).PeerServer(http.NotFoundHandler())
	defer s.Close()
	err = s.Serve(ln)
	is.True(err != nil)
	is.True(!errors.Is(err, http.ErrServerClosed))
}
