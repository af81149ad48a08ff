package driver

import (
	"time"

	"snipeshed/core"
	"snipeshed/core/order"
)

// Option configures a Reconciler.
type Option func(*Reconciler)

// Counters counts events for monitoring.
type Counters interface {
	// Count increments a named counter.
	Count(name string)
}

type noCounters struct{}

// Count does nothing.
func (noCounters) Count(string) {}

// Names of counters.
const (
	// CountSent counts orders sent.
	CountSent = "orders_sent"
	// CountRefused counts orders that an endpoint refused because it had one with a higher number.
	CountRefused = "orders_refused"
	// CountRepeated counts orders sent again after an accepted one did not lead to the wanted state.
	CountRepeated = "orders_repeated"
)

// WithSlots sets the slots that limit concurrent loads. By default, loads are not limited.
func WithSlots(s core.WeightSlots) Option { return func(d *Reconciler) { d.slots = s } }

// WithCounters sets the counters of events.
func WithCounters(c Counters) Option { return func(d *Reconciler) { d.counters = c } }

// WithIsOwner sets a function that reports whether this instance owns the endpoint and may send it orders.
func WithIsOwner(fn func() bool) Option { return func(d *Reconciler) { d.isOwner = fn } }

// WithOnChange sets a callback that is called when the endpoint may have started or stopped accepting calls.
func WithOnChange(fn func()) Option { return func(d *Reconciler) { d.onChange = fn } }

// WithOrderOptions passes options to the order.Order that decides the steps.
func WithOrderOptions(opts ...order.Option) Option {
	return func(d *Reconciler) { d.orderOpts = append(d.orderOpts, opts...) }
}

// WithCheckInterval sets the longest time between two checks of leases and ownership.
func WithCheckInterval(dur time.Duration) Option {
	return func(d *Reconciler) { d.checkInterval = dur }
}
