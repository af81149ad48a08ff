package drain

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// Drain is a server whose Shutdown answers every request of the connections that the kernel has accepted.
//
// Shutdown of net/http closes the listener with the connections in its queue, and closes without an answer each
// connection whose first request it reads afterwards. The client sees EOF or a reset and cannot tell whether its
// request was run.
type Drain struct {
	*http.Server

	mu       sync.Mutex
	open     map[net.Conn]struct{} // connections that may carry a request
	changed  chan struct{}         // closed and replaced when open shrinks
	retiring bool
	closing  bool
	ln       *listener
	done     chan struct{} // closed when Shutdown or Close has ended
	once     sync.Once
}

// New returns a Drain for a server that does not serve yet.
func New(s *http.Server) *Drain {
	d := &Drain{Server: s, open: map[net.Conn]struct{}{}, changed: make(chan struct{}), done: make(chan struct{})}
	s.ConnState = d.track
	handler := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.isRetiring() {
			w.Header().Set("Connection", "close") // HTTP/2 sends GOAWAY for it
		}
		handler.ServeHTTP(w, r)
	})
	return d
}

// Serve serves the connections of a listener until Close or Shutdown.
func (d *Drain) Serve(ln net.Listener) error {
	l := newListener(ln)
	d.mu.Lock()
	d.ln = l
	d.mu.Unlock()
	err := d.Server.Serve(l)
	d.mu.Lock()
	closing := d.closing
	d.mu.Unlock()
	if closing {
		<-d.done // the listener is closed before Shutdown has ended
		return http.ErrServerClosed
	}
	return err
}

// Retire makes each answer from now on the last one of its connection.
func (d *Drain) Retire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retiring = true
}

// Shutdown takes no more connections, waits until the requests of all accepted ones have been answered, then closes
// them. When ctx ends first, it returns its error and the caller closes the server.
func (d *Drain) Shutdown(ctx context.Context) error {
	defer d.end()
	if l := d.close(); l != nil {
		l.stop()
		select {
		case <-l.closed:
		case <-ctx.Done():
		}
	}
	d.wait(ctx)
	return d.Server.Shutdown(ctx)
}

// Close closes all connections.
func (d *Drain) Close() error {
	defer d.end()
	d.close()
	return d.Server.Close()
}

func (d *Drain) close() *listener {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retiring, d.closing = true, true
	return d.ln
}

func (d *Drain) end() { d.once.Do(func() { close(d.done) }) }

func (d *Drain) isRetiring() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.retiring
}

// track follows the connections that may carry a request; an idle one of HTTP/2 has no open stream.
func (d *Drain) track(c net.Conn, s http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch s {
	case http.StateNew, http.StateActive:
		d.open[c] = struct{}{}
	case http.StateIdle, http.StateHijacked, http.StateClosed:
		delete(d.open, c)
		close(d.changed)
		d.changed = make(chan struct{})
	}
}

// wait returns when no connection carries a request, or when ctx ends.
func (d *Drain) wait(ctx context.Context) {
	for {
		d.mu.Lock()
		n, changed := len(d.open), d.changed
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
