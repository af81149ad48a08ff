package driver

import (
	"time"

	"snipeshed/core"
	"snipeshed/core/order"
)

// Option changes a Driver.
type Option func(*Driver)

// Counters receives the events that an operator watches.
type Counters interface {
	// Count adds one to a named counter.
	Count(name string)
}

type noCounters struct{}

// Count does nothing.
func (noCounters) Count(string) {}

// Names of counters.
const (
	// CountSent counts orders sent.
	CountSent = "orders_sent"
	// CountRefused counts orders that an endpoint refused for their number.
	CountRefused = "orders_refused"
	// CountRepeated counts orders sent again after an accepted one did not lead to the wanted state.
	CountRepeated = "orders_repeated"
)

// WithSlots sets where the slots for loads come from; without it loads are not limited.
func WithSlots(s core.Slots) Option { return func(d *Driver) { d.slots = s } }

// WithCounters sets where events are counted.
func WithCounters(c Counters) Option { return func(d *Driver) { d.counters = c } }

// WithOwner sets how the driver finds out whether this instance may order the endpoint.
func WithOwner(fn func() bool) Option { return func(d *Driver) { d.owner = fn } }

// WithChanged sets what is called when the endpoint may have begun or ended to accept work.
func WithChanged(fn func()) Option { return func(d *Driver) { d.changed = fn } }

// WithOrder passes options to the decision.
func WithOrder(opts ...order.Option) Option {
	return func(d *Driver) { d.orderOpts = append(d.orderOpts, opts...) }
}

// WithCheckInterval sets how often renewals and the ownership are checked without an event.
func WithCheckInterval(dur time.Duration) Option { return func(d *Driver) { d.check = dur } }
