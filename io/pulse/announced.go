package pulse

import (
	"sync"
	"time"

	"snipeshed/core"
)

// announcedSpan is how long an announced endpoint is remembered; it is longer than endpoints are listed as leaving.
const announcedSpan = 10 * time.Second

// announcedSet holds the leaving endpoints that this instance has announced; it is safe for concurrent use.
type announcedSet struct {
	mu sync.Mutex
	at map[core.Incarnation]time.Time
}

// hasNew reports whether one of the endpoints has not been announced.
func (a *announcedSet) hasNew(leaving []core.Incarnation) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, inc := range leaving {
		if _, ok := a.at[inc]; !ok {
			return true
		}
	}
	return false
}

// takeNew returns the endpoints that have not been announced and remembers them as announced.
func (a *announcedSet) takeNew(now time.Time, leaving []core.Incarnation) []core.Incarnation {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.at == nil {
		a.at = map[core.Incarnation]time.Time{}
	}
	for inc, at := range a.at {
		if now.Sub(at) > announcedSpan {
			delete(a.at, inc)
		}
	}
	var out []core.Incarnation
	for _, inc := range leaving {
		if _, ok := a.at[inc]; !ok {
			a.at[inc] = now
			out = append(out, inc)
		}
	}
	return out
}
