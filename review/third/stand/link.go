package main

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// link forwards the TCP connections of one runner. While it is cut, nothing passes in either direction, and a connection that its
// sender gives up meanwhile never reaches the runner.
type link struct {
	ln net.Listener
	to string

	mu     sync.Mutex
	healed chan struct{} // closed while the link is whole
}

func newLink(to string) (*link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{ln: ln, to: to, healed: make(chan struct{})}
	close(l.healed)
	go l.accept()
	return l, nil
}

func (l *link) address() string { return l.ln.Addr().String() }

func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.healed = make(chan struct{})
}

func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.healed)
}

// whole returns a channel that is closed while the link is whole.
func (l *link) whole() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.healed
}

func (l *link) isWhole() bool {
	select {
	case <-l.whole():
		return true
	default:
		return false
	}
}

func (l *link) accept() {
	for {
		c, err := l.ln.Accept()
		if err != nil {
			return // at the end of the process
		}
		go l.forward(c)
	}
}

func (l *link) forward(c net.Conn) {
	defer c.Close()
	var early []byte
	if !l.isWhole() {
		<-l.whole()
		var open bool
		if early, open = readEarly(c); !open {
			return // given up while the link was cut
		}
	}
	s, err := net.Dial("tcp", l.to)
	if err != nil {
		return
	}
	defer s.Close()
	if _, err := s.Write(early); err != nil {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { l.pipe(s, c) })
	both.Go(func() { l.pipe(c, s) })
	both.Wait()
}

// readEarly reads what has arrived on a connection, and reports whether its sender has kept it open.
func readEarly(c net.Conn) (early []byte, open bool) {
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Millisecond)) // TCP connections support deadlines
	early, err := io.ReadAll(c)
	_ = c.SetReadDeadline(time.Time{})
	return early, errors.Is(err, os.ErrDeadlineExceeded)
}

// pipe forwards bytes, and the end of the connection, in one direction.
func (l *link) pipe(to, from net.Conn) {
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		<-l.whole()
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				from.Close()
				return
			}
		}
		if err != nil {
			to.Close() // both programs close connections in both directions
			return
		}
	}
}
