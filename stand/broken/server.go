package broken

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// Server is a server on loopback.
type Server struct {
	ln       net.Listener
	requests atomic.Int64
	group    sync.WaitGroup
}

// Start starts a Server that answers each HTTP/1.1 request with the bytes that a function returns, and then closes the connection.
func Start(answer func(r *http.Request) string) (*Server, error) {
	return start(func(s *Server, c net.Conn) { s.serve(c, answer) })
}

// start starts a Server that calls serve for each connection.
func start(serve func(*Server, net.Conn)) (*Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{ln: ln}
	s.group.Go(func() { s.accept(serve) })
	return s, nil
}

// Address returns the IP address and port of the server.
func (s *Server) Address() string { return s.ln.Addr().String() }

// Requests returns the number of requests that were read.
func (s *Server) Requests() int { return int(s.requests.Load()) }

// Close stops the server and waits until its connections have ended.
func (s *Server) Close() {
	s.ln.Close()
	s.group.Wait()
}

func (s *Server) accept(serve func(*Server, net.Conn)) {
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.group.Go(func() { serve(s, c) })
	}
}

func (s *Server) serve(c net.Conn, answer func(*http.Request) string) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return // the client has closed the connection
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.requests.Add(1)
	_, _ = io.WriteString(c, answer(r)) // the client may be gone
}

// Framed returns a sound answer with a length.
func Framed(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), len(body), body)
}

// Chunked returns a sound answer of one chunk.
func Chunked(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
		status, http.StatusText(status), len(body), body)
}
