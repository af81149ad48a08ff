package link

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

// pair is a client's connection and the matching connection to the target.
type pair struct {
	client net.Conn
	closed chan struct{}

	mu      sync.Mutex
	server  net.Conn
	stalled chan struct{} // closed by restore; nil while the pair forwards bytes
	// stalledAnswers is like stalled, for bytes from the target only.
	stalledAnswers chan struct{}
	ended          bool
	// dropping reports whether the sockets drop every packet.
	dropping bool
}

func (p *pair) stall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stalled == nil {
		p.stalled = make(chan struct{})
	}
}

// holdAnswers stalls the bytes from the target.
func (p *pair) holdAnswers() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stalledAnswers == nil {
		p.stalledAnswers = make(chan struct{})
	}
}

// blackhole stalls the pair and makes its sockets drop every packet.
func (p *pair) blackhole() error {
	p.stall()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return nil
	}
	p.dropping = true
	return p.setDropPackets(true)
}

func (p *pair) setDropPackets(on bool) error {
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
		_ = p.setDropPackets(false) // fails only when a connection has been closed
	}
	if p.stalled != nil {
		close(p.stalled)
		p.stalled = nil
	}
	if p.stalledAnswers != nil {
		close(p.stalledAnswers)
		p.stalledAnswers = nil
	}
}

// awaitRestore waits while the pair is stalled and reports whether it is still open. For bytes from
// the target it also waits while these are held back.
func (p *pair) awaitRestore(fromTarget bool) bool {
	for {
		p.mu.Lock()
		restored := p.stalled
		if restored == nil && fromTarget {
			restored = p.stalledAnswers
		}
		p.mu.Unlock()
		if restored == nil {
			select {
			case <-p.closed:
				return false
			default:
				return true
			}
		}
		select {
		case <-restored:
		case <-p.closed:
			return false
		}
	}
}

// clientReadTimeout bounds reading what a client sent, or its close, before its connection is forwarded.
const clientReadTimeout = 10 * time.Millisecond

// awaitFirstRestore waits while a new pair is stalled and returns the bytes that the client sent meanwhile. It reports false
// if the client has disconnected: in a real partition its connection would never have opened, so its bytes must not arrive
// later.
func (p *pair) awaitFirstRestore() ([]byte, bool) {
	p.mu.Lock()
	stalled := p.stalled != nil
	p.mu.Unlock()
	if !stalled {
		return nil, p.awaitRestore(false)
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
	open := p.awaitRestore(false)
	_ = p.client.SetReadDeadline(time.Now().Add(clientReadTimeout)) // fails only when the connection is closed
	<-read
	_ = p.client.SetReadDeadline(time.Time{}) // as above: only when it is closed
	return sent, open && errors.Is(err, os.ErrDeadlineExceeded)
}

// setServer sets the connection to the target, or resets it and reports false when the pair has ended.
func (p *pair) setServer(server net.Conn) bool {
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
func (p *pair) cut() { p.closeOnce(reset) }

// closeOnce closes both connections with the given function, the first time that it is called. A pair that ends normally is
// not reset, since that would discard bytes that a slow reader has not read yet.
func (p *pair) closeOnce(closeConn func(net.Conn)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return
	}
	p.ended = true
	close(p.closed)
	closeConn(p.client)
	if p.server != nil {
		closeConn(p.server)
	}
}

// reset closes a connection with a TCP reset and discards unsent bytes.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // fails only when the connection is closed
	}
	c.Close()
}

type chunk struct {
	data []byte
	due  time.Time
}

const (
	chunkBytes = 32 << 10
	// maxChunksInFlight bounds the chunks that wait for their delay, to 8 MiB in each direction.
	maxChunksInFlight = 256
)

// copyDelayed copies from src to dst, each chunk after the delay, and then closes the write side of dst.
func (p *pair) copyDelayed(dst, src net.Conn, delay func() time.Duration) {
	fromTarget := src != p.client
	chunks := make(chan chunk, maxChunksInFlight)
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
		if !p.awaitRestore(fromTarget) {
			continue
		}
		if _, err := dst.Write(c.data); err != nil {
			p.cut()
		}
	}
	if !p.awaitRestore(fromTarget) {
		return
	}
	if t, ok := dst.(*net.TCPConn); ok {
		_ = t.CloseWrite() // fails only when the connection is closed
	}
}
