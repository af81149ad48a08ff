package ration

import (
	"sync"
	"time"

	"snipeshed/core"
)

const (
	// defaultRate and 1,405 B/s of a relay of configuration (docs/CAPACITY.md) stay below 2 KB/s.
	defaultRate = 600 // bytes per second
	// defaultCost is a poll's payload in both directions (io/engine TestPollBytes), until polls were metered.
	defaultCost = 363 // bytes
	// maxSaved is the time whose unused bytes are kept. Several pools take turns at intervals of 2 s, so a shorter time
	// would waste bytes.
	maxSaved = 4 * time.Second
	// maxDebt bounds how long polls that could not wait hold back the others.
	maxDebt = time.Minute
)

// Ration divides an instance's bytes for polls among its pools; it is safe for concurrent use.
//
// Polls that cannot wait are only counted. The others are granted while bytes are left, the most overdue first, so that
// the intervals of all endpoints stretch by the same factor.
type Ration struct {
	rate  float64 // bytes per second
	meter func() int64

	mu      sync.Mutex
	at      time.Time
	left    float64 // bytes; negative after polls that could not wait
	metered int64
	open    int64 // polls on their way
	ended   int64
	// waiting holds how overdue the first poll is that each pool did not get in its last round.
	waiting map[core.PoolID]float64
}

// Option changes a Ration.
type Option func(*Ration)

// WithRate sets the bytes per second, sent and received.
func WithRate(n int64) Option { return func(r *Ration) { r.rate = float64(n) } }

// WithMeter sets how the bytes of all polls up to now are found; without it each poll counts as the usual size.
func WithMeter(fn func() int64) Option { return func(r *Ration) { r.meter = fn } }

// New returns a Ration.
func New(opts ...Option) *Ration {
	r := &Ration{rate: defaultRate, waiting: map[core.PoolID]float64{}}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Round begins a round of polls of a pool, or ends its last one when the pool is closed.
func (r *Ration) Round(id core.PoolID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.waiting, id)
}

// Begin counts a poll that cannot wait.
func (r *Ration) Begin(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settle(now)
	r.open++
}

// Grant reports whether a poll that can wait may begin. Overdue is the time since the endpoint's last poll as a multiple
// of its interval; a pool asks for its most overdue endpoint first and ends its round at the first refusal.
func (r *Ration) Grant(now time.Time, id core.PoolID, overdue float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settle(now)
	granted := r.left > float64(r.open)*r.cost()
	for _, other := range r.waiting {
		granted = granted && other <= overdue
	}
	if !granted {
		r.waiting[id] = overdue
		return false
	}
	r.open++
	return true
}

// End counts the end of a poll.
func (r *Ration) End(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settle(now)
	r.open--
	r.ended++
	if r.meter == nil {
		r.left -= defaultCost
	}
}

// cost returns the bytes that a poll takes in the mean.
func (r *Ration) cost() float64 {
	if r.meter == nil || r.ended == 0 {
		return defaultCost
	}
	return float64(r.metered) / float64(r.ended)
}

// settle adds the bytes of the time that passed and subtracts those that were used; r.mu is held.
func (r *Ration) settle(now time.Time) {
	if !r.at.IsZero() {
		r.left += r.rate * max(now.Sub(r.at), 0).Seconds()
	}
	r.at = now
	r.left = min(r.left, r.rate*maxSaved.Seconds())
	if r.meter != nil {
		n := r.meter()
		r.left -= float64(n - r.metered)
		r.metered = n
	}
	r.left = max(r.left, -r.rate*maxDebt.Seconds())
}
