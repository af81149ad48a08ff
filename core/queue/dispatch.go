package queue

import (
	"time"

	"snipeshed/core"
)

// maxStallWait is the longest time for which a call whose prompt would delay streams beyond their token gap targets
// waits for the endpoint with the least delay. Without the wait, streams stall longer in a flood.
const maxStallWait = 60 * time.Millisecond

// dispatch starts waiting calls until none fits. Ranks below their floor are tried first, then all ranks by priority.
// When the first call of a rank fits nowhere, the endpoint with the lowest forecast is held for it: later and smaller
// calls must not take the memory that it waits for.
func (q *Queue) dispatch(now time.Time, acts []core.Action) []core.Action {
	for q.admit.HasFreeSlot() {
		q.held = q.held[:0]
		a, ok := q.startNext(now)
		if !ok {
			break
		}
		acts = append(acts, a)
	}
	return acts
}

// startNext starts one waiting call if any fits.
func (q *Queue) startNext(now time.Time) (core.Action, bool) {
	for _, r := range q.byPriority {
		if q.fair.BelowFloor(r.rule.Name) {
			if a, ok := q.startFromRank(now, r, true); ok {
				return a, true
			}
		}
	}
	for _, r := range q.byPriority {
		if r.waiting > 0 {
			if a, ok := q.startFromRank(now, r, false); ok {
				return a, true
			}
		}
	}
	return core.Action{}, false
}

// startFromRank starts one waiting call of a rank if any fits; belowFloor reports whether the rank is below its floor.
func (q *Queue) startFromRank(now time.Time, r *rank, belowFloor bool) (core.Action, bool) {
	q.teamsBuf = q.fair.AppendTeamsByService(r.rule.Name, q.teamsBuf[:0])
	holding := false
	for i, name := range q.teamsBuf {
		if i == maxTeamsTried {
			break
		}
		c := r.teams[name][0]
		if q.exceedsTeamShare(c) {
			continue
		}
		ep, ok := q.admit.Choose(&c.Call, q.reservePercentFor(r, belowFloor), q.held, q.mayWait(now, r, c))
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

// mayWait reports whether a call still has time to wait for the endpoint where its prompt delays streams least.
func (q *Queue) mayWait(now time.Time, r *rank, c *call) bool {
	wait := maxStallWait
	if limit := q.waitLimit(now, r, c); limit > 0 {
		wait = min(wait, limit/2)
	}
	return now.Sub(c.arrived) < wait
}

// reservePercentFor returns the percentage of memory that a rank leaves free for the ranks above it; a rank below its
// floor leaves none.
func (q *Queue) reservePercentFor(r *rank, belowFloor bool) int64 {
	if belowFloor {
		return 0
	}
	var above int64
	for _, o := range q.byPriority {
		if o.rule.Priority > r.rule.Priority {
			above++
		}
	}
	return q.reservePercent * above
}

// exceedsTeamShare reports whether a call would take its team above its share of the pool's memory while other teams
// wait.
func (q *Queue) exceedsTeamShare(c *call) bool {
	if q.admit.TeamTokens(c.Team)+c.PromptTokens <= q.admit.Capacity()*core.Tokens(q.teamSharePercent)/percent {
		return false
	}
	for _, r := range q.byPriority {
		if n := len(r.teams); n > 1 || (n == 1 && r.teams[c.Team] == nil) {
			return true
		}
	}
	return false
}

// start removes a call from its queue and records that it runs at an endpoint.
func (q *Queue) start(now time.Time, r *rank, c *call, ep core.EndpointID) core.Action {
	delete(q.waiting, c.ID)
	if now.After(c.arrived) {
		r.startRate.recordStart(now)
	}
	r.remove(now, c)
	c.started = now
	c.expectedLeft = q.length.Expected(&c.Call, 0)
	c.progress = q.length.StartProgress(now, &c.Call)
	q.fair.Start(c.Rank, c.Team, c.PromptTokens/promptCostDivisor, c.expectedLeft)
	q.admit.Start(c.Call, ep, 0)
	q.running[c.ID] = c
	r.running++
	return core.Action{Kind: core.ActionStart, ID: c.ID, Endpoint: ep}
}
