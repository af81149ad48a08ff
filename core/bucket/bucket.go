package bucket

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

// Bucket is a token bucket that divides an instance's bytes for polls among its pools; it is safe for concurrent use.
//
// Polls that cannot wait are only counted. The others are granted while bytes are left, the most overdue first, so that
// the intervals of all endpoints stretch by the same factor.
type Bucket struct {
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

// Option changes a Bucket.
type Option func(*Bucket)

// WithRate sets the bytes per second, sent and received.
func WithRate(n int64) Option { return func(b *Bucket) { b.rate = float64(n) } }

// WithMeter sets how the bytes of all polls up to now are found; without it each poll counts as the usual size.
func WithMeter(fn func() int64) Option { return func(b *Bucket) { b.meter = fn } }

// New returns a Bucket.
func New(opts ...Option) *Bucket {
	b := &Bucket{rate: defaultRate, waiting: map[core.PoolID]float64{}}
	for _, o := range opts {
		o(b)
	}
	return b
}

// Round begins a round of polls of a pool, or ends its last one when the pool is closed.
func (b *Bucket) Round(id core.PoolID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.waiting, id)
}

// Begin counts a poll that cannot wait.
func (b *Bucket) Begin(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settle(now)
	b.open++
}

// Grant reports whether a poll that can wait may begin. Overdue is the time since the endpoint's last poll as a multiple
// of its interval; a pool asks for its most overdue endpoint first and ends its round at the first refusal.
func (b *Bucket) Grant(now time.Time, id core.PoolID, overdue float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settle(now)
	granted := b.left > float64(b.open)*b.cost()
	for _, other := range b.waiting {
		granted = granted && other <= overdue
	}
	if !granted {
		b.waiting[id] = overdue
		return false
	}
	b.open++
	return true
}

// End counts the end of a poll.
func (b *Bucket) End(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settle(now)
	b.open--
	b.ended++
	if b.meter == nil {
		b.left -= defaultCost
	}
}

// cost returns the bytes that a poll takes in the mean.
func (b *Bucket) cost() float64 {
	if b.meter == nil || b.ended == 0 {
		return defaultCost
	}
	return float64(b.metered) / float64(b.ended)
}

// settle adds the bytes of the time that passed and subtracts those that were used; b.mu is held.
func (b *Bucket) settle(now time.Time) {
	if !b.at.IsZero() {
		b.left += b.rate * max(now.Sub(b.at), 0).Seconds()
	}
	b.at = now
	b.left = min(b.left, b.rate*maxSaved.Seconds())
	if b.meter != nil {
		n := b.meter()
		b.left -= float64(n - b.metered)
		b.metered = n
	}
	b.left = max(b.left, -b.rate*maxDebt.Seconds())
}
