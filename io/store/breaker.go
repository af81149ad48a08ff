package store

import (
	"math/rand/v2"
	"sync"
	"time"
)

// maxDoublings bounds the retry delay to 4 times breaker_retry_ms, with jitter 6 s by default: a ticket has 10 s to get in
// force, also after a long outage.
const maxDoublings = 2

type outcome int

const (
	// outcomeOK means that the object API answered, whatever it said below status 500.
	outcomeOK outcome = iota
	// outcomeFailed means that the object API did not answer in time or answered with a 5xx status.
	outcomeFailed
	// outcomeNone means that the caller gave up first, which says nothing of the object API.
	outcomeNone
)

// breaker refuses calls while the object API counts as down, and lets one call at a time try it.
type breaker struct {
	limit int
	base  time.Duration

	mu        sync.Mutex
	failures  int
	open      bool
	probing   bool
	doublings int
	until     time.Time
}

func newBreaker(limit int, base time.Duration) *breaker {
	return &breaker{limit: limit, base: base}
}

// enter reports whether a call may be sent, and whether it is the one that tries a store that counts as down.
func (b *breaker) enter(now time.Time) (ok, probe bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.open {
		return true, false
	}
	if b.probing || now.Before(b.until) {
		return false, false
	}
	b.probing = true
	return true, true
}

// leave records the outcome of a call that enter let through.
func (b *breaker) leave(now time.Time, probe bool, o outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if probe {
		b.probing = false
	}
	switch {
	case o == outcomeOK:
		b.open, b.failures, b.doublings = false, 0, 0
	case o == outcomeFailed && probe && b.open:
		b.doublings = min(b.doublings+1, maxDoublings)
		b.wait(now)
	case o == outcomeFailed && !b.open:
		if b.failures++; b.failures >= b.limit {
			b.open = true
			b.wait(now)
		}
	}
}

// wait sets the time of the next try. The jitter of half the delay each way keeps the instances
// of the fleet from trying a recovering store at the same moment.
func (b *breaker) wait(now time.Time) {
	d := b.base << b.doublings
	b.until = now.Add(d/2 + rand.N(d))
}

// up reports whether enter would let a call through.
func (b *breaker) up(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.open || (!b.probing && !now.Before(b.until))
}

// due reports whether the next call would try a store that counts as down.
func (b *breaker) due(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open && !b.probing && !now.Before(b.until)
}
