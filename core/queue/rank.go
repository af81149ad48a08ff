package queue

import (
	"slices"
	"time"

	"snipeshed/core"
)

// defaultQueueLimit applies to ranks whose settings give none.
const defaultQueueLimit = 256 // calls

// delayMargin multiplies the longest recent delay between start and first token.
const delayMargin = 2

// rank is the queue of one rank.
type rank struct {
	rule    core.RankRule
	teams   map[core.TeamName][]*call
	waiting int
	rate    rate
	first   peak
	// running counts calls of the rank at endpoints.
	running int
	// open tells that an endpoint accepts calls.
	open bool
}

func newRank(rule core.RankRule) *rank {
	return &rank{rule: rule, teams: map[core.TeamName][]*call{}}
}

func (r *rank) limit() int {
	if r.rule.QueueLimit > 0 {
		return r.rule.QueueLimit
	}
	return defaultQueueLimit
}

// push inserts a call by deadline, and by arrival among equal deadlines.
func (r *rank) push(now time.Time, c *call) {
	q := r.teams[c.Team]
	i, _ := slices.BinarySearchFunc(q, c, func(o, c *call) int {
		if c.due().Before(o.due()) {
			return 1
		}
		return -1
	})
	r.teams[c.Team] = slices.Insert(q, i, c)
	r.waiting++
	r.rate.run(now, r.open)
}

// setOpen notes whether any endpoint accepts calls. An owner that has just opened its pool has no endpoint before the
// first reports; that time must not count as slow starts, or calls are refused for a wait that they will not have.
func (r *rank) setOpen(now time.Time, open bool) {
	r.open = open
	r.rate.run(now, open && r.waiting > 0)
}

// pop removes a waiting call.
func (r *rank) pop(now time.Time, c *call) {
	q := slices.DeleteFunc(r.teams[c.Team], func(o *call) bool { return o == c })
	if len(q) == 0 {
		delete(r.teams, c.Team)
	} else {
		r.teams[c.Team] = q
	}
	r.waiting--
	r.rate.run(now, r.open && r.waiting > 0)
}

// patience returns how long a call may wait so that its first token still meets the target; 0 means no limit.
func (r *rank) patience(now time.Time) time.Duration {
	target := r.rule.FirstTokenTarget
	if target == 0 {
		return 0
	}
	// The next delay may be longer than those seen. At least half of the target is left for waiting: a stale delay
	// must not refuse every call.
	return max(target-delayMargin*r.first.get(now), target/2)
}

// ahead returns how many calls are served before a new one of a team with own calls waiting, when teams take turns.
func (r *rank) ahead(own int) int {
	n := 0
	for _, q := range r.teams {
		n += min(len(q), own+1)
	}
	return n
}

// wait returns the expected waiting time of a new call of a team with own calls waiting.
func (r *rank) wait(now time.Time, own int) time.Duration {
	if r.waiting == 0 {
		return 0
	}
	return r.rate.timeFor(now, r.ahead(own)+1)
}

// longest returns the team with the most waiting calls for its weight, and the number of its calls.
func (r *rank) longest(weight func(core.TeamName) float64) (core.TeamName, int) {
	var name core.TeamName
	most, n := 0.0, 0
	for t, q := range r.teams {
		if l := float64(len(q)) / weight(t); l > most || (l == most && t > name) {
			name, most, n = t, l, len(q)
		}
	}
	return name, n
}
