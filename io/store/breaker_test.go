package store

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an instance that does not use the store for longer than a ticket has to get in force after an outage of
// any length; on a busy machine TestStoreDown took so long that the next try was due in more than 10 s.
func TestBreakerAfterLongOutage(t *testing.T) {
	is := is.New(t)
	b, now := newBreaker(1, time.Second), time.Unix(0, 0)
	b.leave(now, false, outcomeFailed)
	for range 100 {
		now = b.until
		_, probe := b.enter(now)
		b.leave(now, probe, outcomeFailed)
		is.True(b.until.Sub(now) <= 7*time.Second) // of the 10 s
	}
}

// Guards against several calls trying a store that is down at once, and against a delay that is not
// doubled, grows beyond its bound or survives a recovery.
func TestBreakerDelays(t *testing.T) {
	is := is.New(t)
	b, now := newBreaker(1, time.Second), time.Unix(0, 0)
	b.leave(now, false, outcomeFailed)
	for i := range 8 {
		d := time.Second << min(i, maxDoublings)
		ok, _ := b.enter(now.Add(d/2 - 1))
		is.True(!ok)
		now = now.Add(d * 3 / 2)
		is.True(b.up(now))
		ok, probe := b.enter(now)
		is.True(ok && probe)
		again, _ := b.enter(now)
		is.True(!again && !b.up(now))
		b.leave(now, false, outcomeFailed) // a call from before the outage must not double the delay
		b.leave(now, true, outcomeFailed)
	}
	now = now.Add(time.Minute)
	_, probe := b.enter(now)
	b.leave(now, probe, outcomeNone) // the caller gave up: the next call may try at once
	ok, probe := b.enter(now)
	is.True(ok && probe)
	b.leave(now, probe, outcomeOK)
	b.leave(now, false, outcomeFailed)
	is.True(b.until.Sub(now) <= 3*time.Second/2)
}
