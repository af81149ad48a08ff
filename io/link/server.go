package link

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"sync"
	"time"
)

// digestMark is the first byte of a connection that carries only digests. No HTTP method begins with it, and neither
// does the preface of HTTP/2.
const digestMark = 'd'

// Server serves other instances: connections of DigestClient without pings, all others with pings.
//
// Calls need the server's ping: an owner that sends tokens to an entry that fell silent hears of it from nothing else.
// Digests do not, since the timeout of each exchange finds a silent connection; a ping each second on 12 connections
// of digests cost an instance 340 B/s of its 2 KB/s.
type Server struct {
	pinged, quiet *http.Server
	headerTimeout time.Duration
}

// PeerServer returns a server for the listener of other instances.
func (l *Link) PeerServer(h http.Handler) *Server {
	s := &Server{pinged: l.Server(h), quiet: l.Server(h), headerTimeout: ms(l.cfg.GetHeaderTimeoutMs())}
	s.quiet.HTTP2.SendPingTimeout = 0
	return s
}

// SetErrorLog sets where errors of connections go; it is called before Serve.
func (s *Server) SetErrorLog(l *log.Logger) { s.pinged.ErrorLog, s.quiet.ErrorLog = l, l }

// Serve serves the connections of a listener until Close or Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	sp := &split{
		Listener: ln, timeout: s.headerTimeout, unmarked: map[net.Conn]bool{},
		pinged: make(chan net.Conn), quiet: make(chan net.Conn), closed: make(chan struct{}),
	}
	var quiet sync.WaitGroup
	quiet.Go(func() { _ = s.quiet.Serve(&half{split: sp, conns: sp.quiet}) }) // ends together with the other
	accepting := make(chan error, 1)
	quiet.Go(func() { accepting <- sp.accept() })
	err := s.pinged.Serve(&half{split: sp, conns: sp.pinged})
	_ = sp.Close()
	quiet.Wait()
	if errors.Is(err, net.ErrClosed) { // the listener failed or was closed by its owner
		err = <-accepting
	}
	return err
}

// Close closes all connections.
func (s *Server) Close() error { return errors.Join(s.pinged.Close(), s.quiet.Close()) }

// Shutdown waits until no connection is in use, then closes them.
func (s *Server) Shutdown(ctx context.Context) error {
	quiet := make(chan error, 1)
	go func() { quiet <- s.quiet.Shutdown(ctx) }()
	return errors.Join(s.pinged.Shutdown(ctx), <-quiet)
}

// split gives each accepted connection to one of two servers, by its first byte.
type split struct {
	net.Listener
	timeout       time.Duration
	pinged, quiet chan net.Conn
	closed        chan struct{}
	once          sync.Once

	mu       sync.Mutex
	unmarked map[net.Conn]bool
	reading  sync.WaitGroup
}

func (s *split) accept() error {
	defer s.reading.Wait()
	for {
		c, err := s.Accept()
		if err != nil {
			var temporary interface{ Temporary() bool }
			if errors.As(err, &temporary) && temporary.Temporary() { // as net/http does, when files run out
				time.Sleep(acceptPause)
				continue
			}
			_ = s.Close()
			return err
		}
		if s.add(c) {
			s.reading.Go(func() { s.hand(c) })
		}
	}
}

const acceptPause = 100 * time.Millisecond

func (s *split) add(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unmarked == nil {
		_ = c.Close() // the servers have been closed
		return false
	}
	s.unmarked[c] = true
	return true
}

// hand reads the first byte and gives the connection to its server.
func (s *split) hand(c net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.unmarked, c)
		s.mu.Unlock()
	}()
	first := make([]byte, 1)
	_ = c.SetReadDeadline(time.Now().Add(s.timeout))
	if _, err := c.Read(first); err != nil {
		_ = c.Close()
		return
	}
	_ = c.SetReadDeadline(time.Time{})
	to, conn := s.quiet, c
	if first[0] != digestMark {
		to, conn = s.pinged, &unread{Conn: c, first: first}
	}
	select {
	case to <- conn:
	case <-s.closed:
		_ = c.Close()
	}
}

// Close closes the listener and the connections that no server has got.
func (s *split) Close() (err error) {
	s.once.Do(func() {
		close(s.closed)
		err = s.Listener.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.unmarked {
			_ = c.Close()
		}
		s.unmarked = nil
	})
	return err
}

// half is the listener of one of the two servers.
type half struct {
	*split
	conns chan net.Conn
}

// Accept returns the next connection of this server.
func (h *half) Accept() (net.Conn, error) {
	select {
	case c := <-h.conns:
		return c, nil
	case <-h.closed:
		return nil, net.ErrClosed
	}
}

// unread is a connection whose first byte has been read.
type unread struct {
	net.Conn
	first []byte
}

// Read returns the first byte again.
func (c *unread) Read(b []byte) (int, error) {
	if len(c.first) > 0 && len(b) > 0 {
		n := copy(b, c.first)
		c.first = c.first[n:]
		return n, nil
	}
	return c.Conn.Read(b)
}

// marked is a connection whose first write is preceded by the mark of digests.
type marked struct {
	net.Conn
	once sync.Once
}

// Write sends the mark together with the first bytes, so that it costs no packet of its own.
func (c *marked) Write(b []byte) (n int, err error) {
	first := false
	c.once.Do(func() { first = true })
	if !first {
		return c.Conn.Write(b)
	}
	n, err = c.Conn.Write(append([]byte{digestMark}, b...))
	return max(n-1, 0), err
}
