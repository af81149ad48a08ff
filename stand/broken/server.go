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

// Server answers each request with the bytes that a function returns, and then closes the connection.
type Server struct {
	ln       net.Listener
	answer   func(r *http.Request) string
	requests atomic.Int64
	group    sync.WaitGroup
}

// Start starts a Server on loopback.
func Start(answer func(r *http.Request) string) (*Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{ln: ln, answer: answer}
	s.group.Go(s.accept)
	return s, nil
}

// Address returns the IP address and port of the server.
func (s *Server) Address() string { return s.ln.Addr().String() }

// Requests returns the number of requests that were read.
func (s *Server) Requests() int { return int(s.requests.Load()) }

// Close stops the server and waits for the answers in progress.
func (s *Server) Close() {
	s.ln.Close()
	s.group.Wait()
}

func (s *Server) accept() {
	for {
		c, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.group.Go(func() { s.serve(c) })
	}
}

func (s *Server) serve(c net.Conn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return // the client has closed the connection
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.requests.Add(1)
	_, _ = io.WriteString(c, s.answer(r)) // the client may be gone
}

// Framed returns a sound answer with a length.
func Framed(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), len(body), body)
}

// Chunked returns a sound answer of one chunk.
func Chunked(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
		status, http.StatusText(status), len(body), body)
}
