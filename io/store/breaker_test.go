package store

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestBreakerAfterLongOutage guards against a breaker that, after an outage of any length, stays open longer than the 10 s in
// which a ticket must be in force. Without a bound on the delay, a slow run of TestStoreDown on a busy machine reached that.
func TestBreakerAfterLongOutage(t *testing.T) {
	is := is.New(t)
	b, now := newBreaker(1, time.Second), time.Unix(0, 0)
	b.record(now, false, outcomeFailed)
	for range 100 {
		now = b.retryAt
		_, probe := b.allow(now)
		b.record(now, probe, outcomeFailed)
		is.True(b.retryAt.Sub(now) <= 7*time.Second) // within the 10 s of a ticket
	}
}

// TestBreakerDelays guards against concurrent probes of a store that is down, and against a delay that is not doubled,
// exceeds its bound or is not reset by a recovery.
func TestBreakerDelays(t *testing.T) {
	is := is.New(t)
	b, now := newBreaker(1, time.Second), time.Unix(0, 0)
	b.record(now, false, outcomeFailed)
	for i := range 8 {
		d := time.Second << min(i, maxDoublings)
		ok, _ := b.allow(now.Add(d/2 - 1))
		is.True(!ok)
		now = now.Add(d * 3 / 2)
		is.True(b.wouldAllow(now))
		ok, probe := b.allow(now)
		is.True(ok && probe)
		again, _ := b.allow(now)
		is.True(!again && !b.wouldAllow(now))
		b.record(now, false, outcomeFailed) // a call from before the outage must not double the delay
		b.record(now, true, outcomeFailed)
	}
	now = now.Add(time.Minute)
	_, probe := b.allow(now)
	b.record(now, probe, outcomeUnknown) // the probe was canceled, so the next call may probe at once
	ok, probe := b.allow(now)
	is.True(ok && probe)
	b.record(now, probe, outcomeOK)
	b.record(now, false, outcomeFailed)
	is.True(b.retryAt.Sub(now) <= 3*time.Second/2)
}
