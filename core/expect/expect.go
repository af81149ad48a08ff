package expect

import (
	"math"
	"sync"

	"snipeshed/core"
)

const (
	// hintWeight is the weight of a caller's hint against what was learned, on a log scale: hints are right at the
	// median but often far off, by more than lengths differ between calls of a kind.
	hintWeight = 0.33
	// newestWeight is the weight of the newest length in the learned one.
	newestWeight = 0.05
	// defaultShare is the part of the limit that is expected before anything was learned.
	defaultShare = 0.3
	// meanOverMedian corrects the median of skewed lengths to their mean.
	meanOverMedian = 1.3
	// maxKinds bounds the kinds of calls that are learned one by one.
	maxKinds = 1024
)

// Expect learns the lengths of each kind of call; it is safe for concurrent use.
type Expect struct {
	mu   sync.Mutex
	logs map[string]float64 // mean logarithm of the lengths
}

// New returns an Expect that has learned nothing.
func New() *Expect { return &Expect{logs: map[string]float64{}} }

// Ended learns the length of a generation that has ended.
func (e *Expect) Ended(kind string, length core.Tokens) {
	if length <= 0 {
		return
	}
	l := math.Log(float64(length))
	e.mu.Lock()
	defer e.mu.Unlock()
	old, ok := e.logs[kind]
	switch {
	case ok:
		e.logs[kind] = old + newestWeight*(l-old)
	case len(e.logs) < maxKinds:
		e.logs[kind] = l
	}
}

// Output returns the expected length of a generation of a kind with the caller's hint, 0 for none, and limit.
func (e *Expect) Output(kind string, hint, limit core.Tokens) core.Tokens {
	e.mu.Lock()
	median, ok := e.logs[kind]
	e.mu.Unlock()
	if !ok {
		median = math.Log(defaultShare * float64(max(limit, 1)))
	}
	if hint > 0 {
		median += hintWeight * (math.Log(float64(hint)) - median)
	}
	out := core.Tokens(meanOverMedian * math.Exp(median))
	if limit > 0 {
		out = min(out, limit)
	}
	return max(out, 1)
}
