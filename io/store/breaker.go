package store

import (
	"math/rand/v2"
	"sync"
	"time"
)

// maxDoublings bounds the retry delay to 4 times breaker_retry_ms, by default 6 s with jitter: a ticket must be in force within
// 10 s, even right after a long outage.
const maxDoublings = 2

type outcome int

const (
	// outcomeOK means that the object API answered with a status below 500.
	outcomeOK outcome = iota
	// outcomeFailed means that the object API did not answer in time or answered with a 5xx status.
	outcomeFailed
	// outcomeUnknown means that the call was canceled before an answer, which does not show whether the object API is available.
	outcomeUnknown
)

// breaker is a circuit breaker: while it is open it refuses calls, except for one probe at a time after a delay.
type breaker struct {
	maxFailures int
	retryDelay  time.Duration

	mu        sync.Mutex
	failures  int
	open      bool
	probing   bool
	doublings int
	retryAt   time.Time
}

func newBreaker(maxFailures int, retryDelay time.Duration) *breaker {
	return &breaker{maxFailures: maxFailures, retryDelay: retryDelay}
}

// allow reports whether a call may be sent, and whether it is the probe of an open breaker.
func (b *breaker) allow(now time.Time) (ok, probe bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.open {
		return true, false
	}
	if b.probing || now.Before(b.retryAt) {
		return false, false
	}
	b.probing = true
	return true, true
}

// record records the outcome of a call that allow let through.
func (b *breaker) record(now time.Time, probe bool, o outcome) {
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
		b.scheduleProbe(now)
	case o == outcomeFailed && !b.open:
		if b.failures++; b.failures >= b.maxFailures {
			b.open = true
			b.scheduleProbe(now)
		}
	}
}

// scheduleProbe sets the time of the next probe. The jitter of half the delay in both directions keeps
// the instances of the fleet from probing a recovering store at the same moment.
func (b *breaker) scheduleProbe(now time.Time) {
	d := b.retryDelay << b.doublings
	b.retryAt = now.Add(d/2 + rand.N(d))
}

// wouldAllow reports whether allow would let a call through.
func (b *breaker) wouldAllow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.open || (!b.probing && !now.Before(b.retryAt))
}

// wouldProbe reports whether the next call would be the probe of an open breaker.
func (b *breaker) wouldProbe(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open && !b.probing && !now.Before(b.retryAt)
}
