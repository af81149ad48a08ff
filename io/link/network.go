package link

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"snipeshed/conf"
	"snipeshed/io/head"
	"snipeshed/io/reset"
)

// Network creates clients and servers from the settings of an instance and counts the bytes on their connections.
type Network struct {
	cfg      *conf.Settings
	sent     atomic.Int64
	received atomic.Int64
}

// New returns a Network.
func New(cfg *conf.Settings) *Network { return &Network{cfg: cfg} }

// Bytes returns the numbers of bytes sent and received on connections opened by the clients and accepted by the listeners
// of this Network.
func (l *Network) Bytes() (sent, received int64) { return l.sent.Load(), l.received.Load() }

// PeerClient returns a client that speaks only unencrypted HTTP/2 and pings idle connections.
func (l *Network) PeerClient() *http.Client {
	t := l.transport()
	t.Protocols = new(http.Protocols)
	t.Protocols.SetUnencryptedHTTP2(true)
	t.HTTP2 = l.http2()
	t.HTTP2.MaxReceiveBufferPerStream = streamReceiveBuffer
	return newClient(t)
}

// DigestClient returns a client for the PeerServer of another instance, without pings in either direction. Each call needs
// a timeout, as nothing else detects a dead connection.
func (l *Network) DigestClient() *http.Client {
	t := l.transport()
	t.Protocols = new(http.Protocols)
	t.Protocols.SetUnencryptedHTTP2(true)
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &digestConn{Conn: c}, nil
	}
	return newClient(t)
}

// streamReceiveBuffer bounds the bytes buffered here for a client that reads slowly; with the default of 4 MiB, a dozen
// such streams take over 50 MB. It holds some thousand tokens, so that a short pause of the client causes no backpressure
// on the engine. The limit per connection stays at its default of 1 GiB, so that slow streams do not block the others.
const streamReceiveBuffer = 256 << 10

// PlatformClient returns a client for the platform's object API and instance list. It uses HTTP/1.1 and keeps idle connections
// open.
func (l *Network) PlatformClient() *http.Client {
	t := l.transport()
	t.MaxIdleConnsPerHost = maxIdlePlatformConns
	return newClient(t)
}

// EngineClient returns a client that uses HTTP/1.1 and opens a connection for each call.
//
// An idle connection may be dead, which only a timeout reveals: with reused connections, a stream whose link stalled takes
// over 7 s to resume instead of 2 s. A generation lasts long enough for one more round trip not to matter.
func (l *Network) EngineClient() *http.Client {
	t := l.transport()
	t.DisableKeepAlives = true
	t.ReadBufferSize = engineReadBuffer
	t.WriteBufferSize = engineWriteBuffer
	t.MaxResponseHeaderBytes = maxEngineHeadBytes
	return newClient(t)
}

const (
	// engineReadBuffer holds over a dozen token lines; each open stream has its own buffer.
	engineReadBuffer = 1 << 10 // bytes
	// engineWriteBuffer holds the headers of a request; longer bodies bypass the buffer.
	engineWriteBuffer = 512 // bytes
	// maxEngineHeadBytes replaces the limit of net/http, which is 10 MB.
	maxEngineHeadBytes = 16 << 10
)

// ApplicationClient returns a client that uses HTTP/1.1 and whose calls fail with ErrSilent when their connection is dead. Package action,
// which changes its transport, checks the heads of the answers.
func (l *Network) ApplicationClient() *http.Client {
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

// maxIdlePlatformConns is the number of idle connections to the platform that a client keeps for reuse, to cover the concurrent
// calls of one instance.
const maxIdlePlatformConns = 64 // connections

const idleTimeout = 90 * time.Second

// newClient returns a client that fails with head.ErrMalformed in place of an answer whose head HTTP does not allow.
func newClient(t *http.Transport) *http.Client { return &http.Client{Transport: head.NewTransport(t)} }

func (l *Network) transport() *http.Transport {
	d := &net.Dialer{Timeout: ms(l.cfg.GetDialTimeoutMs())}
	if ip := net.ParseIP(l.cfg.GetSourceAddress()); ip != nil {
		d.LocalAddr = &net.TCPAddr{IP: ip}
	}
	dial := reset.WrapDial(d.DialContext)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: c, link: l}, nil
		},
		DisableCompression: true,
		IdleConnTimeout:    idleTimeout,
	}
}

func (l *Network) http2() *http.HTTP2Config {
	return &http.HTTP2Config{
		SendPingTimeout: ms(l.cfg.GetPingIntervalMs()),
		PingTimeout:     ms(l.cfg.GetPingTimeoutMs()),
	}
}

// Server returns a server for HTTP/1.1 and unencrypted HTTP/2, with the limits and timeouts of the settings.
func (l *Network) Server(h http.Handler) *http.Server {
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

// CountingListener returns a listener that counts the bytes of the connections that it accepts.
func (l *Network) CountingListener(ln net.Listener) net.Listener {
	return &countedListener{Listener: ln, link: l}
}

type countedListener struct {
	net.Listener
	link *Network
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
	link *Network
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.link.received.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.link.sent.Add(int64(n))
	return n, err
}
