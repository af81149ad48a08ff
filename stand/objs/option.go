package objs

import (
	"net"
	"time"

	"snipeshed/stand/host"
)

type settings struct {
	hostOptions     []host.Option
	readsPerSecond  float64
	writesPerSecond float64
	callDelay       time.Duration
	listLag         time.Duration
	heartbeat       time.Duration
	historyLimit    int
}

// Option configures a Platform.
type Option func(*settings)

// WithAddr sets the address to listen on; the default is a free port on loopback.
func WithAddr(addr string) Option {
	return func(s *settings) { s.hostOptions = append(s.hostOptions, host.WithAddr(addr)) }
}

// WithListener makes the Platform serve on a listener of the caller.
func WithListener(ln net.Listener) Option {
	return func(s *settings) { s.hostOptions = append(s.hostOptions, host.WithListener(ln)) }
}

// WithRates limits reads and writes per second (default 2,000 and 300); 0 disables a limit.
func WithRates(reads, writes float64) Option {
	return func(s *settings) { s.readsPerSecond, s.writesPerSecond = reads, writes }
}

// WithDelay sets the delay of each call (default 0); see Platform.SetDelay.
func WithDelay(d time.Duration) Option { return func(s *settings) { s.callDelay = d } }

// WithListLag sets how long after a change the instance list shows it (default 0).
func WithListLag(d time.Duration) Option { return func(s *settings) { s.listLag = d } }

// WithHeartbeat sets the interval of the heartbeats, which are empty lines, of a watch (default 1 s).
func WithHeartbeat(d time.Duration) Option { return func(s *settings) { s.heartbeat = d } }

// WithHistory sets how many changes are kept for watches that start at an earlier revision (default 10,000).
func WithHistory(changes int) Option { return func(s *settings) { s.historyLimit = changes } }

func defaults() settings {
	return settings{readsPerSecond: 2000, writesPerSecond: 300, heartbeat: time.Second, historyLimit: 10_000}
}
