package apprun

import (
	"net"
	"time"

	"snipeshed/stand/host"
)

type settings struct {
	hostOptions  []host.Option
	checkFencing bool
	delay        time.Duration
}

// Option configures an AppServer.
type Option func(*settings)

// WithAddr sets the address to listen on; the default is a free port on loopback.
func WithAddr(addr string) Option {
	return func(s *settings) { s.hostOptions = append(s.hostOptions, host.WithAddr(addr)) }
}

// WithListener makes the AppServer serve on a listener of the caller.
func WithListener(ln net.Listener) Option {
	return func(s *settings) { s.hostOptions = append(s.hostOptions, host.WithListener(ln)) }
}

// WithFencingCheck sets whether calls with a lower fencing number than an earlier call of the same key are rejected
// (default true).
func WithFencingCheck(on bool) Option { return func(s *settings) { s.checkFencing = on } }

// WithDelay sets the delay of each call (default 0); see AppServer.SetDelay.
func WithDelay(d time.Duration) Option { return func(s *settings) { s.delay = d } }
