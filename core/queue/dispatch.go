package queue

import (
	"time"

	"snipeshed/core"
)

// stallWait is how long a call whose prompt would delay streams beyond their gap target waits for the endpoint where it
// delays the fewest. With 0 the stall in floods was 5% higher.
const stallWait = 60 * time.Millisecond

// dispatch starts waiting calls until none fits. A rank below its floor is tried first, then the ranks by priority.
// When the first call of a rank fits nowhere, the endpoint with the lowest forecast is held for it:
// later and smaller calls must not take the memory that it waits for.
func (q *Queue) dispatch(now time.Time, acts []core.Action) []core.Action {
	for q.admit.HasFreeSlot() {
		q.held = q.held[:0]
		a, ok := q.next(now)
		if !ok {
			break
		}
		acts = append(acts, a)
	}
	return acts
}

// next starts one call, if any fits.
func (q *Queue) next(now time.Time) (core.Action, bool) {
	for _, r := range q.order {
		if q.fair.BelowFloor(r.rule.Name) {
			if a, ok := q.from(now, r, true); ok {
				return a, true
			}
		}
	}
	for _, r := range q.order {
		if r.waiting > 0 {
			if a, ok := q.from(now, r, false); ok {
				return a, true
			}
		}
	}
	return core.Action{}, false
}

// from starts one call of a rank, if any fits.
func (q *Queue) from(now time.Time, r *rank, floor bool) (core.Action, bool) {
	q.names = q.fair.Teams(r.rule.Name, q.names[:0])
	holding := false
	for i, name := range q.names {
		if i == maxTeamsTried {
			break
		}
		c := r.teams[name][0]
		if q.capped(c) {
			continue
		}
		ep, ok := q.admit.Choose(&c.Call, q.reserveFor(r, floor), q.held, q.mayWait(now, r, c))
		if ok {
			return q.start(now, r, c, ep), true
		}
		if !holding && ep != "" {
			q.held = append(q.held, ep)
			holding = true
		}
	}
	return core.Action{}, false
}

// mayWait reports whether a call still has time to wait for an endpoint where its prompt delays fewer streams.
func (q *Queue) mayWait(now time.Time, r *rank, c *call) bool {
	wait := stallWait
	if limit := q.limitOf(now, r, c); limit > 0 {
		wait = min(wait, limit/2)
	}
	return now.Sub(c.arrived) < wait
}

// reserveFor returns the share of memory that a rank leaves free for the ranks above it.
func (q *Queue) reserveFor(r *rank, floor bool) int64 {
	if floor {
		return 0
	}
	var above int64
	for _, o := range q.order {
		if o.rule.Priority > r.rule.Priority {
			above++
		}
	}
	return q.reserve * above
}

// capped reports whether a call would take its team above its share of the pool's memory while other teams wait.
func (q *Queue) capped(c *call) bool {
	if q.admit.TeamHeld(c.Team)+c.PromptTokens <= q.admit.Capacity()*core.Tokens(q.teamShare)/percent {
		return false
	}
	for _, r := range q.order {
		if n := len(r.teams); n > 1 || (n == 1 && r.teams[c.Team] == nil) {
			return true
		}
	}
	return false
}

func (q *Queue) start(now time.Time, r *rank, c *call, ep core.EndpointID) core.Action {
	delete(q.calls, c.ID)
	if now.After(c.arrived) {
		r.rate.start(now)
	}
	r.pop(now, c)
	c.started = now
	c.expected = q.length.Expected(&c.Call, 0)
	c.progress = q.length.Start(now, &c.Call)
	q.fair.Start(c.Rank, c.Team, c.PromptTokens/promptDivisor, c.expected)
	q.admit.Start(c.Call, ep, 0)
	q.running[c.ID] = c
	r.running++
	return core.Action{Kind: core.ActionStart, ID: c.ID, Endpoint: ep}
}
