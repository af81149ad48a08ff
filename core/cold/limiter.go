package cold

import (
	"sync"
	"time"

	"snipeshed/core"
	"snipeshed/core/fleet"
)

const (
	// viewShare is the part of the limit that the instances use which know the same members. Two parts of the fleet that do not
	// reach each other, or that learn of a change at different times, stay within the limit together.
	viewShare = 0.5
	// requestsPerSender is the number of requests that one sender may send in any second. With fewer, a sender would hold back
	// calls of its own while other senders have none.
	requestsPerSender = 4
	burst             = 1
)

// Limiter holds this instance's share of the limits of cold endpoints; it is safe for concurrent use.
//
// For each cold endpoint, rendezvous hashing chooses a few senders among the live instances. Each has an equal share of the limit; for
// the other instances the endpoint backs off until it is warm.
type Limiter struct {
	excess float64
	slack  float64
	rank   func(id core.EndpointID, limit int) int

	mu      sync.Mutex
	buckets map[core.Incarnation]*bucket
}

// bucket is a token bucket of one endpoint.
type bucket struct {
	tokens     float64 // negative after forced requests
	refilledAt time.Time
	coldUntil  time.Time
}

// New returns a Limiter. While a service's endpoint is cold, it gets at most excess times the service's cold rate plus slack requests in a
// second; an excess of 0 means no limit. Rank returns this instance's place among the
// live instances in the order of an endpoint, or limit if it is not below that.
func New(excess, slack float64, rank func(id core.EndpointID, limit int) int) *Limiter {
	return &Limiter{excess: excess, slack: slack, rank: rank, buckets: map[core.Incarnation]*bucket{}}
}

// Apply returns the endpoints of a service, in which cold ones that may not be sent a request by this instance now back off until they may.
func (l *Limiter) Apply(now time.Time, s core.Service, all []*fleet.Status) []*fleet.Status {
	if l.excess <= 0 || s.ColdRate <= 0 {
		return all
	}
	out := all
	for i, e := range all {
		until := l.limitedUntil(now, s, e)
		if !until.After(e.BackoffUntil) {
			continue
		}
		if &out[0] == &all[0] {
			out = append([]*fleet.Status(nil), all...)
		}
		limited := *e
		limited.BackoffUntil = until
		out[i] = &limited
	}
	return out
}

// limitedUntil returns the time until which this instance may send no request to an endpoint; zero if it may now.
func (l *Limiter) limitedUntil(now time.Time, s core.Service, e *fleet.Status) time.Time {
	coldUntil := coldUntil(s, e)
	if !now.Before(coldUntil) {
		return time.Time{}
	}
	senders, rate := l.shares(s)
	if l.rank(e.ID, senders) >= senders {
		l.drop(e.Incarnation())
		return coldUntil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.refill(now, rate, coldUntil, e.Incarnation())
	if b.tokens >= 1 {
		return time.Time{}
	}
	wait := time.Duration((1 - b.tokens) / rate * float64(time.Second))
	return earlier(now.Add(wait), coldUntil)
}

// Take counts a request to an endpoint if this instance may send it now, and reports whether it may.
func (l *Limiter) Take(now time.Time, s core.Service, e *fleet.Status) bool {
	if !l.Limits(now, s, e) {
		return true
	}
	senders, rate := l.shares(s)
	if l.rank(e.ID, senders) >= senders {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.refill(now, rate, coldUntil(s, e), e.Incarnation())
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Force counts a request that is sent whatever the limit, for a generation that would be lost without it. An endpoint has room for a few
// of them only.
func (l *Limiter) Force(now time.Time, s core.Service, e *fleet.Status) {
	if e == nil || !l.Limits(now, s, e) {
		return
	}
	_, rate := l.shares(s)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill(now, rate, coldUntil(s, e), e.Incarnation()).tokens--
}

// Limits reports whether an endpoint is cold and has a limit.
func (l *Limiter) Limits(now time.Time, s core.Service, e *fleet.Status) bool {
	return l.excess > 0 && s.ColdRate > 0 && now.Before(coldUntil(s, e))
}

// shares returns the number of instances that send to a cold endpoint of a service, and the requests per second of each.
func (l *Limiter) shares(s core.Service) (senders int, rate float64) {
	limit := viewShare * (l.excess*s.ColdRate + l.slack)
	senders = max(int(limit/requestsPerSender), 1)
	// In any second a sender uses up its burst and what is refilled meanwhile. A service that bears less than one request a second
	// gets one now and then all the same, as its endpoints would stay unused otherwise.
	rate = max(limit/float64(senders)-burst, min(limit, 1))
	return senders, rate
}

// refill returns the bucket of an endpoint with the tokens of now; l.mu is held. A new bucket is empty, so that instances which become
// senders one after the other do not add up.
func (l *Limiter) refill(now time.Time, rate float64, coldUntil time.Time, inc core.Incarnation) *bucket {
	b := l.buckets[inc]
	if b == nil {
		l.expire(now)
		b = &bucket{refilledAt: now}
		l.buckets[inc] = b
	}
	if d := now.Sub(b.refilledAt); d > 0 {
		b.tokens = min(b.tokens+rate*d.Seconds(), burst)
		b.refilledAt = now
	}
	b.coldUntil = coldUntil
	return b
}

// expire removes the buckets of endpoints that are warm.
func (l *Limiter) expire(now time.Time) {
	for inc, b := range l.buckets {
		if !now.Before(b.coldUntil) {
			delete(l.buckets, inc)
		}
	}
}

func (l *Limiter) drop(inc core.Incarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.buckets, inc)
}

// coldUntil returns the time at which an endpoint is warm. One whose failure domain was evacuated may have become cold since its
// entry was written.
func coldUntil(s core.Service, e *fleet.Status) time.Time {
	if e.ReturnedAt.IsZero() {
		return e.WarmAt
	}
	return core.Later(e.WarmAt, e.ReturnedAt.Add(s.ColdStart))
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
