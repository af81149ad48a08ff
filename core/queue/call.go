package queue

import (
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

func (c *call) due() time.Time {
	if c.Deadline.IsZero() {
		return noDeadline
	}
	return c.Deadline
}
