package queue

import (
	"slices"
	"time"

	"snipeshed/core"
)

// defaultQueueLimit applies to ranks whose settings give none.
const defaultQueueLimit = 256 // calls

// firstTokenDelayMargin is the safety factor for the longest recent delay between the start and the first token of a
// call.
const firstTokenDelayMargin = 2

// rank holds the waiting calls of one rank, with one queue per team.
type rank struct {
	rule            core.RankRule
	teams           map[core.TeamName][]*call
	waiting         int
	startRate       startRate
	firstTokenDelay decayingMax // recent delays between start and first token
	// running counts calls of the rank at endpoints.
	running int
	// accepting reports whether any endpoint accepts calls.
	accepting bool
}

func newRank(rule core.RankRule) *rank {
	return &rank{rule: rule, teams: map[core.TeamName][]*call{}}
}

func (r *rank) queueLimit() int {
	if r.rule.QueueLimit > 0 {
		return r.rule.QueueLimit
	}
	return defaultQueueLimit
}

// insert queues a call in the order of deadlines, and in the order of arrival among equal deadlines.
func (r *rank) insert(now time.Time, c *call) {
	q := r.teams[c.Team]
	i, _ := slices.BinarySearchFunc(q, c, func(o, c *call) int {
		if c.deadlineOrLast().Before(o.deadlineOrLast()) {
			return 1
		}
		return -1
	})
	r.teams[c.Team] = slices.Insert(q, i, c)
	r.waiting++
	r.startRate.setActive(now, r.accepting)
}

// setAccepting records whether any endpoint accepts calls. An instance that has just become the owner of a pool has no
// accepting endpoint before the first reports; if that time lowered the rate of starts, calls would be refused for a
// wait that they will not have.
func (r *rank) setAccepting(now time.Time, accepting bool) {
	r.accepting = accepting
	r.startRate.setActive(now, accepting && r.waiting > 0)
}

// remove removes a waiting call from its team's queue.
func (r *rank) remove(now time.Time, c *call) {
	q := slices.DeleteFunc(r.teams[c.Team], func(o *call) bool { return o == c })
	if len(q) == 0 {
		delete(r.teams, c.Team)
	} else {
		r.teams[c.Team] = q
	}
	r.waiting--
	r.startRate.setActive(now, r.accepting && r.waiting > 0)
}

// targetWaitLimit returns how long a call may wait so that its first token still meets the rank's target; 0 means no
// limit.
func (r *rank) targetWaitLimit(now time.Time) time.Duration {
	target := r.rule.FirstTokenTarget
	if target == 0 {
		return 0
	}
	// The next delay may be longer than those seen. At least half of the target is left for waiting, so that an outdated
	// long delay does not refuse every call.
	return max(target-firstTokenDelayMargin*r.firstTokenDelay.valueAt(now), target/2)
}

// callsAhead returns the number of calls that are served before a new call of a team that already has own calls
// waiting, when teams are served round robin.
func (r *rank) callsAhead(own int) int {
	n := 0
	for _, q := range r.teams {
		n += min(len(q), own+1)
	}
	return n
}

// expectedWait returns the expected waiting time of a new call of a team that already has own calls waiting.
func (r *rank) expectedWait(now time.Time, own int) time.Duration {
	if r.waiting == 0 {
		return 0
	}
	return r.startRate.expectedTime(now, r.callsAhead(own)+1)
}

// longestQueue returns the team with the most waiting calls relative to its weight, and the number of its calls.
func (r *rank) longestQueue(weight func(core.TeamName) float64) (core.TeamName, int) {
	var name core.TeamName
	most, n := 0.0, 0
	for t, q := range r.teams {
		if l := float64(len(q)) / weight(t); l > most || (l == most && t > name) {
			name, most, n = t, l, len(q)
		}
	}
	return name, n
}
