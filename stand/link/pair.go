package link

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

// pair is a client's connection and the one to the target.
type pair struct {
	client net.Conn
	closed chan struct{}

	mu     sync.Mutex
	server net.Conn
	gate   chan struct{} // closed by restore; nil while bytes pass
	// answers is the same for bytes from the target only.
	answers chan struct{}
	ended   bool
	// dropping is set while the sockets drop every packet.
	dropping bool
}

func (p *pair) stall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.gate == nil {
		p.gate = make(chan struct{})
	}
}

// holdAnswers stalls what comes from the target.
func (p *pair) holdAnswers() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.answers == nil {
		p.answers = make(chan struct{})
	}
}

// blackhole stalls the pair and lets its sockets drop every packet.
func (p *pair) blackhole() error {
	p.stall()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return nil
	}
	p.dropping = true
	return p.drop(true)
}

func (p *pair) drop(on bool) error {
	for _, c := range []net.Conn{p.client, p.server} {
		if t, ok := c.(*net.TCPConn); ok {
			if err := dropPackets(t, on); err != nil {
				return fmt.Errorf("cannot change the packet filter of a connection: %w", err)
			}
		}
	}
	return nil
}

func (p *pair) restore() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dropping && !p.ended {
		p.dropping = false
		_ = p.drop(false) // a connection that was closed meanwhile passes nothing anyway
	}
	if p.gate != nil {
		close(p.gate)
		p.gate = nil
	}
	if p.answers != nil {
		close(p.answers)
		p.answers = nil
	}
}

// wait waits while the pair is stalled, for answers also while those are, and reports whether it is still open.
func (p *pair) wait(answers bool) bool {
	for {
		p.mu.Lock()
		gate := p.gate
		if gate == nil && answers {
			gate = p.answers
		}
		p.mu.Unlock()
		if gate == nil {
			select {
			case <-p.closed:
				return false
			default:
				return true
			}
		}
		select {
		case <-gate:
		case <-p.closed:
			return false
		}
	}
}

// holdGrace is the time to read what a client sent, or its end, before it is served.
const holdGrace = 10 * time.Millisecond

// hold waits while a new pair is stalled and returns what the client sent meanwhile. It reports false for a client
// that gave up: during a partition its connection would never have opened, so nothing of it may arrive later.
func (p *pair) hold() ([]byte, bool) {
	p.mu.Lock()
	stalled := p.gate != nil
	p.mu.Unlock()
	if !stalled {
		return nil, p.wait(false)
	}
	var sent []byte
	var err error
	read := make(chan struct{})
	go func() {
		defer close(read)
		buf := make([]byte, chunkBytes)
		for n := 0; err == nil; sent = append(sent, buf[:n]...) {
			n, err = p.client.Read(buf)
		}
	}()
	open := p.wait(false)
	_ = p.client.SetReadDeadline(time.Now().Add(holdGrace)) // fails only when the connection is closed already
	<-read
	_ = p.client.SetReadDeadline(time.Time{}) // as above
	return sent, open && errors.Is(err, os.ErrDeadlineExceeded)
}

// attach adds the connection to the target, unless the pair was cut meanwhile.
func (p *pair) attach(server net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		reset(server)
		return false
	}
	p.server = server
	return true
}

// cut resets both connections.
func (p *pair) cut() { p.end(reset) }

// end closes both connections, once; a reset would discard bytes that a slow reader has yet to take.
func (p *pair) end(how func(net.Conn)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return
	}
	p.ended = true
	close(p.closed)
	how(p.client)
	if p.server != nil {
		how(p.server)
	}
}

// reset closes a connection so that the other end sees a reset if anything was in flight.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // fails only when the connection is closed already
	}
	c.Close()
}

type chunk struct {
	data []byte
	due  time.Time
}

const (
	chunkBytes = 32 << 10
	// inFlight bounds the chunks that a delay holds, 8 MiB in each direction.
	inFlight = 256
)

// pass copies from src to dst, each chunk after the delay, and then passes on the end.
func (p *pair) pass(dst, src net.Conn, delay func() time.Duration) {
	answers := src != p.client
	chunks := make(chan chunk, inFlight)
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		defer close(chunks)
		buf := make([]byte, chunkBytes)
		for {
			n, err := src.Read(buf)
			if n > 0 {
				select {
				case chunks <- chunk{append([]byte(nil), buf[:n]...), time.Now().Add(delay())}:
				case <-p.closed:
					return
				}
			}
			if err != nil {
				return
			}
		}
	})
	for c := range chunks {
		if d := time.Until(c.due); d > 0 {
			select {
			case <-time.After(d):
			case <-p.closed:
				continue
			}
		}
		if !p.wait(answers) {
			continue
		}
		if _, err := dst.Write(c.data); err != nil {
			p.cut()
		}
	}
	if !p.wait(answers) {
		return
	}
	if t, ok := dst.(*net.TCPConn); ok {
		_ = t.CloseWrite() // fails only when the connection is closed already
	}
}
