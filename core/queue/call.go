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
	// expectedLeft is the part of the length expected at the start that has not been generated yet.
	expectedLeft core.Tokens
	generated    core.Tokens
	progress     length.Progress
	adopted      bool
}

// noDeadline sorts calls without a deadline after all others.
var noDeadline = time.Unix(1<<40, 0)

// excessHalfLife is the running time after which a token beyond the expected length costs half. Such tokens could not be
// predicted, and a call of 20,000 tokens that started while capacity was free would keep its team behind all others for
// minutes.
const excessHalfLife = 30 * time.Second

// teamCost returns the cost to a call's team of more generated tokens, of which some were expected.
func (c *call) teamCost(now time.Time, more, expected core.Tokens) float64 {
	return float64(expected) + float64(more-expected)*math.Exp2(-now.Sub(c.started).Seconds()/excessHalfLife.Seconds())
}

// deadlineOrLast returns the deadline, or noDeadline if there is none.
func (c *call) deadlineOrLast() time.Time {
	if c.Deadline.IsZero() {
		return noDeadline
	}
	return c.Deadline
}
