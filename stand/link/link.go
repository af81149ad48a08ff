package link

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"
)

// Link forwards TCP connections to a target and can stall, reset, delay and refuse them.
type Link struct {
	target string
	addr   string

	mu          sync.Mutex
	ln          net.Listener
	pairs       map[*pair]struct{}
	delay       time.Duration
	partitioned bool // whether connections from partitionedSources are stalled, new ones from the start
	// partitionedSources are the source IP addresses that a partition stalls; an empty list stands for all.
	partitionedSources []string
	wg                 sync.WaitGroup
}

// Option changes a Link.
type Option func(*Link)

// WithAddr sets the address to listen on; the default is a free port on loopback.
func WithAddr(addr string) Option { return func(l *Link) { l.addr = addr } }

// WithDelay sets the delay of each direction.
func WithDelay(d time.Duration) Option { return func(l *Link) { l.delay = d } }

// New returns a Link to the target address that is not yet started.
func New(target string, opts ...Option) *Link {
	l := &Link{target: target, addr: "127.0.0.1:0", pairs: map[*pair]struct{}{}}
	for _, o := range opts {
		o(l)
	}
	return l
}

// Start listens and forwards connections until Close.
func (l *Link) Start() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.listen()
}

func (l *Link) listen() error {
	ln, err := net.Listen("tcp", l.addr)
	if err != nil {
		return fmt.Errorf("cannot listen on %s: %w", l.addr, err)
	}
	l.ln, l.addr = ln, ln.Addr().String()
	l.wg.Go(func() {
		for {
			c, err := ln.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err == nil {
				l.wg.Go(func() { l.forward(c) })
			}
		}
	})
	return nil
}

// Addr returns the address that the link listens on.
func (l *Link) Addr() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addr
}

// Stall makes all open connections silent: they stay open but forward neither bytes nor a close. New connections work.
func (l *Link) Stall() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.stall()
	}
}

// HoldAnswers makes all open connections silent in one direction: bytes from clients reach the target, bytes from the target
// are held back.
func (l *Link) HoldAnswers() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.holdAnswers()
	}
}

// Blackhole stalls all open connections and drops their packets, so that the kernel acknowledges nothing, as when the network
// loses them. After Stall, the kernel still acknowledges packets. It needs Linux.
func (l *Link) Blackhole() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		if err := p.blackhole(); err != nil {
			return err
		}
	}
	return nil
}

// Partition makes open and new connections silent: those from the given source IP addresses, or all when none is given.
func (l *Link) Partition(from ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partitioned, l.partitionedSources = true, from
	for p := range l.pairs {
		if l.isPartitioned(p) {
			p.stall()
		}
	}
}

func (l *Link) isPartitioned(p *pair) bool {
	host, _, _ := net.SplitHostPort(p.client.RemoteAddr().String()) // the address of a TCP connection always splits
	return l.partitioned && (len(l.partitionedSources) == 0 || slices.Contains(l.partitionedSources, host))
}

// Restore ends all faults but delays; bytes that were held back are forwarded.
func (l *Link) Restore() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partitioned = false
	for p := range l.pairs {
		p.restore()
	}
	if l.ln == nil {
		return l.listen()
	}
	return nil
}

// ResetConnections resets all open connections; new ones work.
func (l *Link) ResetConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.cut()
	}
}

// RefuseConnections resets all open connections and refuses new ones until Restore.
func (l *Link) RefuseConnections() {
	l.mu.Lock()
	if l.ln != nil {
		l.ln.Close()
		l.ln = nil
	}
	l.mu.Unlock()
	l.ResetConnections()
}

// SetDelay sets the delay of each direction for bytes that arrive from now on.
func (l *Link) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// Close refuses new connections, resets the open ones and waits until they have ended.
func (l *Link) Close() error {
	l.RefuseConnections()
	l.wg.Wait()
	return nil
}

func (l *Link) currentDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.delay
}

const dialTimeout = 5 * time.Second

func (l *Link) forward(client net.Conn) {
	p := &pair{client: client, closed: make(chan struct{})}
	l.mu.Lock()
	if l.ln == nil {
		l.mu.Unlock()
		reset(client)
		return
	}
	if l.isPartitioned(p) {
		p.stall()
	}
	l.pairs[p] = struct{}{}
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.pairs, p)
		l.mu.Unlock()
		p.cut()
	}()
	// A stalled connection reaches the target only after Restore.
	sentEarly, ok := p.awaitFirstRestore()
	if !ok {
		return
	}
	server, err := net.DialTimeout("tcp", l.target, dialTimeout)
	if err != nil || !p.setServer(server) {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		if _, err := server.Write(sentEarly); err != nil {
			p.cut()
		}
		p.copyDelayed(server, client, l.currentDelay)
	})
	p.copyDelayed(client, server, l.currentDelay)
	wg.Wait()
	p.closeOnce(func(c net.Conn) { c.Close() })
}
