package link

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// digestMarker is the first byte of a connection that carries only digests. Neither an HTTP method nor the HTTP/2 preface
// begins with it.
const digestMarker = 'd'

// Server serves other instances: connections of a DigestClient without pings, all others with pings.
//
// Calls need pings from the server: an owner that sends tokens to an unreachable entry instance has no other way to detect
// it. Digests do not, since the timeout of each exchange detects a dead connection. A ping per second on 12 digest
// connections cost an instance 340 B/s of its 2 KB/s.
type Server struct {
	callServer, digestServer *http.Server
	headerTimeout            time.Duration
	closing                  atomic.Bool
}

// PeerServer returns a server for the listener of other instances.
func (l *Network) PeerServer(h http.Handler) *Server {
	s := &Server{callServer: l.Server(h), digestServer: l.Server(h), headerTimeout: ms(l.cfg.GetHeaderTimeoutMs())}
	s.digestServer.HTTP2.SendPingTimeout = 0
	return s
}

// SetErrorLog sets the logger for connection errors; it must be called before Serve.
func (s *Server) SetErrorLog(l *log.Logger) { s.callServer.ErrorLog, s.digestServer.ErrorLog = l, l }

// Serve serves the connections of a listener until Close or Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	sp := &connSplitter{
		Listener: ln, readTimeout: s.headerTimeout, pending: map[net.Conn]bool{},
		callConns: make(chan net.Conn), digestConns: make(chan net.Conn), closed: make(chan struct{}),
	}
	var running sync.WaitGroup
	running.Go(func() { _ = s.digestServer.Serve(&splitListener{connSplitter: sp, conns: sp.digestConns}) }) // ends when the call server ends
	acceptErr := make(chan error, 1)
	running.Go(func() { acceptErr <- sp.acceptLoop() })
	err := s.callServer.Serve(&splitListener{connSplitter: sp, conns: sp.callConns})
	_ = sp.Close()
	running.Wait()
	switch {
	case s.closing.Load():
		return http.ErrServerClosed // the digest server may have closed the listener before the call server began to close
	case errors.Is(err, net.ErrClosed): // the listener failed or was closed by its owner
		return <-acceptErr
	default:
		return err
	}
}

// Close closes all connections.
func (s *Server) Close() error {
	s.closing.Store(true)
	return errors.Join(s.callServer.Close(), s.digestServer.Close())
}

// Shutdown shuts down both servers gracefully.
func (s *Server) Shutdown(ctx context.Context) error {
	s.closing.Store(true)
	digestErr := make(chan error, 1)
	go func() { digestErr <- s.digestServer.Shutdown(ctx) }()
	return errors.Join(s.callServer.Shutdown(ctx), <-digestErr)
}

// connSplitter distributes accepted connections to the two servers by their first byte.
type connSplitter struct {
	net.Listener
	readTimeout            time.Duration
	callConns, digestConns chan net.Conn
	closed                 chan struct{}
	once                   sync.Once

	mu          sync.Mutex
	pending     map[net.Conn]bool
	dispatching sync.WaitGroup
}

func (s *connSplitter) acceptLoop() error {
	defer s.dispatching.Wait()
	for {
		c, err := s.Accept()
		if err != nil {
			var temporary interface{ Temporary() bool }
			if errors.As(err, &temporary) && temporary.Temporary() { // such as too many open files; net/http retries as well
				time.Sleep(acceptRetryDelay)
				continue
			}
			_ = s.Close()
			return err
		}
		if s.track(c) {
			s.dispatching.Go(func() { s.dispatch(c) })
		}
	}
}

const acceptRetryDelay = 100 * time.Millisecond

// track adds c to the connections that Close closes, and reports whether the splitter is still open.
func (s *connSplitter) track(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending == nil {
		_ = c.Close() // the splitter has been closed
		return false
	}
	s.pending[c] = true
	return true
}

// dispatch reads the first byte of a connection and passes the connection to its server.
func (s *connSplitter) dispatch(c net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.pending, c)
		s.mu.Unlock()
	}()
	first := make([]byte, 1)
	_ = c.SetReadDeadline(time.Now().Add(s.readTimeout))
	if _, err := c.Read(first); err != nil {
		_ = c.Close()
		return
	}
	_ = c.SetReadDeadline(time.Time{})
	to, conn := s.digestConns, c
	if first[0] != digestMarker {
		to, conn = s.callConns, &prefixedConn{Conn: c, prefix: first}
	}
	select {
	case to <- conn:
	case <-s.closed:
		_ = c.Close()
	}
}

// Close closes the listener and the connections that have not been passed to a server.
func (s *connSplitter) Close() (err error) {
	s.once.Do(func() {
		close(s.closed)
		err = s.Listener.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.pending {
			_ = c.Close()
		}
		s.pending = nil
	})
	return err
}

// splitListener is the listener of one of the servers behind a connSplitter.
type splitListener struct {
	*connSplitter
	conns chan net.Conn
}

// Accept returns the next connection of this server.
func (l *splitListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// prefixedConn is a connection whose Read first returns bytes that were already read.
type prefixedConn struct {
	net.Conn
	prefix []byte
}

// Read returns the prefix, then reads from the connection.
func (c *prefixedConn) Read(b []byte) (int, error) {
	if len(c.prefix) > 0 && len(b) > 0 {
		n := copy(b, c.prefix)
		c.prefix = c.prefix[n:]
		return n, nil
	}
	return c.Conn.Read(b)
}

// digestConn is a connection whose first write is preceded by digestMarker.
type digestConn struct {
	net.Conn
	once sync.Once
}

// Write writes b, the first time after digestMarker in the same write, so that the marker needs no packet of its own.
func (c *digestConn) Write(b []byte) (n int, err error) {
	first := false
	c.once.Do(func() { first = true })
	if !first {
		return c.Conn.Write(b)
	}
	n, err = c.Conn.Write(append([]byte{digestMarker}, b...))
	return max(n-1, 0), err
}
