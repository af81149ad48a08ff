package objs

import (
	"net"
	"time"

	"snipeshed/stand/host"
)

type settings struct {
	host      []host.Option
	reads     float64
	writes    float64
	delay     time.Duration
	listLag   time.Duration
	heartbeat time.Duration
	history   int
}

// Option changes an Objs.
type Option func(*settings)

// WithAddr sets the address to listen on; the default is a free port on loopback.
func WithAddr(addr string) Option {
	return func(s *settings) { s.host = append(s.host, host.WithAddr(addr)) }
}

// WithListener serves a listener that the caller made.
func WithListener(ln net.Listener) Option {
	return func(s *settings) { s.host = append(s.host, host.WithListener(ln)) }
}

// WithRates limits reads and writes per second (default 2,000 and 300); 0 lifts a limit.
func WithRates(reads, writes float64) Option {
	return func(s *settings) { s.reads, s.writes = reads, writes }
}

// WithDelay sets the duration of each call (default 0); see Objs.Slow.
func WithDelay(d time.Duration) Option { return func(s *settings) { s.delay = d } }

// WithListLag sets the age of the instance list (default 0).
func WithListLag(d time.Duration) Option { return func(s *settings) { s.listLag = d } }

// WithHeartbeat sets the interval of blank lines in a watch (default 1 s).
func WithHeartbeat(d time.Duration) Option { return func(s *settings) { s.heartbeat = d } }

// WithHistory sets how many changes a watch can go back (default 10,000).
func WithHistory(changes int) Option { return func(s *settings) { s.history = changes } }

func defaults() settings {
	return settings{reads: 2000, writes: 300, heartbeat: time.Second, history: 10_000}
}
