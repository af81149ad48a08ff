package tally

import (
	"time"

	"snipeshed/core"
)

const (
	maxTimedCalls  = 10_000 // of one report
	maxTimePerCall = time.Minute
	maxWorkPerCall = core.Tokens(1 << 20)
)

// Timing is a sum over successful calls at an endpoint.
type Timing struct {
	Calls int
	// Time is the time until the answers, or until the first events of streams.
	Time time.Duration
	// Work is the prompt tokens that the endpoint had to process until then, or 1 for each call without a stream.
	Work core.Tokens
}

// Clamped returns the sum within the bounds of what so many calls can have; malformed reports exceed them.
func (t Timing) Clamped() Timing {
	n := min(max(t.Calls, 0), maxTimedCalls)
	return Timing{
		Calls: n, Time: min(max(t.Time, 0), time.Duration(n)*maxTimePerCall), Work: min(max(t.Work, core.Tokens(n)), core.Tokens(n)*maxWorkPerCall),
	}
}

func (t *Timing) add(other Timing) {
	t.Calls += other.Calls
	t.Time += other.Time
	t.Work += other.Work
}

func (t Timing) negated() Timing { return Timing{Calls: -t.Calls, Time: -t.Time, Work: -t.Work} }
