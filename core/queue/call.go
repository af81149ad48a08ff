package queue

import (
	"math"
	"time"

	"snipeshed/core"
	"snipeshed/core/length"
)

// call is a waiting or running call.
type call struct {
	core.Call
	arrived time.Time
	started time.Time
	// expected is the part of the length expected at the start that has not come yet.
	expected  core.Tokens
	generated core.Tokens
	progress  length.Progress
	adopted   bool
}

// noDeadline orders calls without a deadline after all others.
var noDeadline = time.Unix(1<<40, 0)

// excessHalfLife lets tokens beyond the expected length count less the longer a call runs. Nobody could foresee them,
// and a call of 20,000 tokens that started while capacity was free would keep its team behind all others for minutes.
// Without it the smallest team at twice the capacity got 2 to 3% less; 10 s was no better.
const excessHalfLife = 30 * time.Second

// charge returns what more tokens, of which some were expected, cost the team of a running call.
func (c *call) charge(now time.Time, more, expected core.Tokens) float64 {
	return float64(expected) + float64(more-expected)*math.Exp2(-now.Sub(c.started).Seconds()/excessHalfLife.Seconds())
}

func (c *call) due() time.Time {
	if c.Deadline.IsZero() {
		return noDeadline
	}
	return c.Deadline
}
