package link

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"snipeshed/conf"
)

// Link makes clients and servers from one instance's settings and counts the bytes of its clients and listeners.
type Link struct {
	cfg  *conf.Settings
	sent atomic.Int64
	rcvd atomic.Int64
}

// New returns a Link.
func New(cfg *conf.Settings) *Link { return &Link{cfg: cfg} }

// Bytes returns the bytes sent and received on connections that this Link's clients opened and its listeners accepted.
func (l *Link) Bytes() (sent, received int64) { return l.sent.Load(), l.rcvd.Load() }

// PeerClient returns a client that speaks only unencrypted HTTP/2 and pings idle connections.
func (l *Link) PeerClient() *http.Client {
	t := l.transport()
	t.Protocols = new(http.Protocols)
	t.Protocols.SetUnencryptedHTTP2(true)
	t.HTTP2 = l.http2()
	t.HTTP2.MaxReceiveBufferPerStream = streamBuffer
	return &http.Client{Transport: t}
}

// DigestClient returns a client for the PeerServer of one other instance that neither pings nor is pinged. Each call
// needs a timeout, which alone finds a silent connection.
func (l *Link) DigestClient() *http.Client {
	t := l.transport()
	t.Protocols = new(http.Protocols)
	t.Protocols.SetUnencryptedHTTP2(true)
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &marked{Conn: c}, nil
	}
	return &http.Client{Transport: t}
}

// streamBuffer bounds the bytes that wait here for a client that reads slowly; with the default of 4 MiB, a dozen such
// streams took over 50 MB. It holds some thousand tokens, so that a short pause does not reach the engine. The limit of
// a connection stays at its default of 1 GiB, so that slow streams do not hold up the others.
const streamBuffer = 256 << 10

// EndpointClient returns a client that speaks HTTP/1.1, as endpoints are only known to speak that.
func (l *Link) EndpointClient() *http.Client {
	t := l.transport()
	t.MaxIdleConnsPerHost = idlePerEndpoint
	return &http.Client{Transport: t}
}

// EngineClient returns a client that speaks HTTP/1.1 and opens a connection for each call.
//
// An idle connection can have gone silent, which shows only by a timeout: with reused connections, a stream
// whose link stalled took over 7 s to resume instead of 2 s. A generation lasts long enough for one more round trip.
func (l *Link) EngineClient() *http.Client {
	t := l.transport()
	t.DisableKeepAlives = true
	t.ReadBufferSize = engineReadBuffer
	t.WriteBufferSize = engineWriteBuffer
	return &http.Client{Transport: t}
}

const (
	// engineReadBuffer holds over a dozen token lines; each open stream has one.
	engineReadBuffer = 1 << 10
	// engineWriteBuffer holds the headers of a request; the rest of a longer body bypasses it.
	engineWriteBuffer = 512
)

// ApplicationClient returns a client that speaks HTTP/1.1 and whose calls fail with ErrSilent when their connection is dead.
func (l *Link) ApplicationClient() *http.Client {
	t := l.transport()
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return newProbedConn(c)
	}
	return &http.Client{Transport: t}
}

// idlePerEndpoint covers the calls that one application runs at once.
const idlePerEndpoint = 64

const idleTimeout = 90 * time.Second

func (l *Link) transport() *http.Transport {
	d := &net.Dialer{Timeout: ms(l.cfg.GetDialTimeoutMs())}
	if ip := net.ParseIP(l.cfg.GetSourceAddress()); ip != nil {
		d.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := d.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: c, link: l}, nil
		},
		DisableCompression: true,
		IdleConnTimeout:    idleTimeout,
	}
}

func (l *Link) http2() *http.HTTP2Config {
	return &http.HTTP2Config{
		SendPingTimeout: ms(l.cfg.GetPingIntervalMs()),
		PingTimeout:     ms(l.cfg.GetPingTimeoutMs()),
	}
}

// Server returns a server with the listener limits of the settings that speaks HTTP/1.1 and unencrypted HTTP/2.
func (l *Link) Server(h http.Handler) *http.Server {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           h,
		Protocols:         p,
		HTTP2:             l.http2(),
		ReadHeaderTimeout: ms(l.cfg.GetHeaderTimeoutMs()),
		MaxHeaderBytes:    int(l.cfg.GetMaxHeaderBytes()),
		IdleTimeout:       idleTimeout,
	}
}

// Listener returns a listener that counts the bytes of the connections that it accepts.
func (l *Link) Listener(ln net.Listener) net.Listener { return &countedListener{Listener: ln, link: l} }

type countedListener struct {
	net.Listener
	link *Link
}

// Accept returns the next connection.
func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: c, link: l.link}, nil
}

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

type countedConn struct {
	net.Conn
	link *Link
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.link.rcvd.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.link.sent.Add(int64(n))
	return n, err
}
