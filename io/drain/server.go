package drain

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// Server is an HTTP server whose Shutdown answers the requests of all connections that the kernel has accepted.
//
// Shutdown of net/http drops the connections in the accept queue of the listener, and closes a connection without an
// answer if it reads the first request only after Shutdown has begun. The client sees EOF or a reset and cannot tell
// whether its request was run.
type Server struct {
	*http.Server

	mu               sync.Mutex
	activeConns      map[net.Conn]struct{} // connections that may carry a request
	activeChanged    chan struct{}         // closed and replaced when a connection leaves activeConns
	closeAfterAnswer bool
	closing          bool
	listener         *listener
	done             chan struct{} // closed when Shutdown or Close has ended
	doneOnce         sync.Once
}

// New returns a Server that wraps s, which must not be serving yet.
func New(s *http.Server) *Server {
	d := &Server{Server: s, activeConns: map[net.Conn]struct{}{}, activeChanged: make(chan struct{}), done: make(chan struct{})}
	s.ConnState = d.trackState
	handler := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.closesAfterAnswer() {
			w.Header().Set("Connection", "close") // over HTTP/2, this sends GOAWAY
		}
		handler.ServeHTTP(w, r)
	})
	return d
}

// Serve serves the connections of a listener until Close or Shutdown, and returns when that has ended.
func (d *Server) Serve(ln net.Listener) error {
	l := newListener(ln)
	d.mu.Lock()
	d.listener = l
	d.mu.Unlock()
	err := d.Server.Serve(l)
	d.mu.Lock()
	closing := d.closing
	d.mu.Unlock()
	if closing {
		<-d.done // Server.Serve returns when the listener closes, which is before Shutdown ends
		return http.ErrServerClosed
	}
	return err
}

// CloseAfterNextAnswer makes the server close each connection after its next answer.
func (d *Server) CloseAfterNextAnswer() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closeAfterAnswer = true
}

// Shutdown stops accepting connections, waits until the requests of all accepted ones have been answered, and closes
// them. If ctx ends first, Shutdown returns the error of ctx and the caller must call Close.
func (d *Server) Shutdown(ctx context.Context) error {
	defer d.markDone()
	if l := d.close(); l != nil {
		l.closeAfterQueue()
		select {
		case <-l.closed:
		case <-ctx.Done():
		}
	}
	d.waitIdle(ctx)
	return d.Server.Shutdown(ctx)
}

// Close closes all connections.
func (d *Server) Close() error {
	defer d.markDone()
	d.close()
	return d.Server.Close()
}

// close marks the server as closing and returns its listener, which is nil before Serve.
func (d *Server) close() *listener {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closeAfterAnswer, d.closing = true, true
	return d.listener
}

func (d *Server) markDone() { d.doneOnce.Do(func() { close(d.done) }) }

func (d *Server) closesAfterAnswer() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.closeAfterAnswer
}

// trackState keeps track of the connections that may carry a request; an idle HTTP/2 connection has no open stream.
func (d *Server) trackState(c net.Conn, s http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch s {
	case http.StateNew, http.StateActive:
		d.activeConns[c] = struct{}{}
	case http.StateIdle, http.StateHijacked, http.StateClosed:
		delete(d.activeConns, c)
		close(d.activeChanged)
		d.activeChanged = make(chan struct{})
	}
}

// waitIdle returns when no connection carries a request, or when ctx ends.
func (d *Server) waitIdle(ctx context.Context) {
	for {
		d.mu.Lock()
		n, changed := len(d.activeConns), d.activeChanged
		d.mu.Unlock()
		if n == 0 {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}
