package host

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// Pipe is an in-memory net.Listener for tests in virtual time (testing/synctest), which cannot use kernel sockets.
type Pipe struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// NewPipe returns an open listener.
func NewPipe() *Pipe { return &Pipe{conns: make(chan net.Conn), closed: make(chan struct{})} }

// Accept waits for the next connection.
func (p *Pipe) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

// Close makes Accept and Dial fail from now on; open connections stay open.
func (p *Pipe) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

// Addr returns a placeholder address, which nothing can dial.
func (p *Pipe) Addr() net.Addr { return pipeAddr{} }

type pipeAddr struct{}

func (pipeAddr) Network() string { return "pipe" }
func (pipeAddr) String() string  { return "pipe.local:80" }

// Dial connects to the listener and waits until it accepts.
func (p *Pipe) Dial(ctx context.Context) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case p.conns <- server:
		return client, nil
	case <-p.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Client returns an HTTP client that opens a new connection through the pipe for each request.
func (p *Pipe) Client() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext:       func(ctx context.Context, _, _ string) (net.Conn, error) { return p.Dial(ctx) },
	}}
}
