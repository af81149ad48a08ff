package spent

import (
	"sync"
	"time"
)

const (
	// sameTimeoutShare is the share of a route's longest timeout above which a caller may be at its first attempt, since the
	// timeouts of a route's callers differ.
	sameTimeoutShare = 0.85
	// window is the time over which the longest timeout of a route is taken, in two halves.
	window = time.Minute
)

// Estimator remembers the longest timeout of each route's callers; it is safe for concurrent use.
//
// A caller that was refused, or failed, and comes back has less time left than one at its first attempt. Nothing else tells them
// apart, as each attempt has an id of its own and reaches another instance.
type Estimator struct {
	mu      sync.Mutex
	longest map[string]*longest
}

// longest is the longest timeout in the current half of the window and in the one before.
type longest struct {
	halfStart         time.Time
	current, previous time.Duration
}

// New returns an Estimator that has seen no calls.
func New() *Estimator { return &Estimator{longest: map[string]*longest{}} }

// AtLeast records the timeout of a call and returns the time that its caller has spent before at least; limit is the route's own
// timeout, which stands for the longest one while no call of the route was seen.
func (e *Estimator) AtLeast(now time.Time, route string, limit, timeout time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.longest[route]
	if l == nil {
		l = &longest{halfStart: now}
		e.longest[route] = l
	}
	l.rotate(now)
	usual := max(l.current, l.previous)
	if usual == 0 || usual > limit {
		usual = limit
	}
	l.current = max(l.current, timeout)
	return max(time.Duration(sameTimeoutShare*float64(usual))-timeout, 0)
}

// rotate starts a new half of the window when the current one is over.
func (l *longest) rotate(now time.Time) {
	switch age := now.Sub(l.halfStart); {
	case age < window/2:
		return
	case age < window:
		l.previous = l.current
	default:
		l.previous = 0
	}
	l.current, l.halfStart = 0, now
}
