package host

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// Pipe is a listener in memory, for tests in virtual time, where connections of the kernel are not allowed.
type Pipe struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// NewPipe returns an open listener.
func NewPipe() *Pipe { return &Pipe{conns: make(chan net.Conn), closed: make(chan struct{})} }

// Accept returns the next connection.
func (p *Pipe) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

// Close refuses further connections.
func (p *Pipe) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

// Addr returns a name.
func (p *Pipe) Addr() net.Addr { return pipeAddr{} }

type pipeAddr struct{}

func (pipeAddr) Network() string { return "pipe" }
func (pipeAddr) String() string  { return "pipe.local:80" }

// Dial opens a connection.
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

// Client returns an HTTP client whose every call dials the pipe anew.
func (p *Pipe) Client() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext:       func(ctx context.Context, _, _ string) (net.Conn, error) { return p.Dial(ctx) },
	}}
}
