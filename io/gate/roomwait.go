package gate

import (
	"math/rand/v2"
	"time"

	"snipeshed/core/fleet"
	"snipeshed/core/place"
	"snipeshed/core/route"
)

// roomWait is a call's wait for room. Calls that can still start within their latency objective go before late ones, whose
// callers lose little by a few more seconds.
type roomWait struct {
	s        *stream
	lateAt   time.Time // from then on the first event is likely to miss the objective
	giveUpAt time.Time // when the call is refused
	counted  bool      // in the number of waiting calls, which excludes late ones
}

func (s *stream) newRoomWait() *roomWait {
	objective := time.Duration(lateAfterShare * float64(s.route.Objective))
	w := &roomWait{s: s, lateAt: s.start.Add(objective), giveUpAt: s.start.Add(objective)}
	if s.movable() {
		w.lateAt = s.start.Add(min(objective, s.route.Objective-withPrefillMargin(place.PrefillTime(s.PromptTokens))))
		longest := min(time.Duration(maxWaitShare*float64(s.end.Sub(s.start))), maxWaitObjectives*s.route.Objective)
		w.giveUpAt = s.start.Add(max(objective, longest))
		if s.isReturning() {
			w.lateAt = s.start
		}
	}
	return w
}

// isReturning reports whether the caller's objective had passed before this attempt: it was refused elsewhere and has come back. It
// yields to calls that can still be in time, like those that have waited here for as long.
func (s *stream) isReturning() bool {
	limit := s.route.Timeout
	if limit <= 0 || s.Deadline <= 0 {
		return false
	}
	return s.g.Spent.AtLeast(s.start, s.route.Name, limit, s.Deadline) >= s.route.Objective
}

// mayPoll reports whether the call may search for room now. Unless this is its first search and no call waits anywhere,
// it first sleeps for a random time, so that it sees the load of the calls that found room before it.
func (w *roomWait) mayPoll(now time.Time, all []*fleet.Status, first bool) bool {
	if !w.s.movable() {
		return true
	}
	_, waiting := w.s.g.Loads.WaitingCalls(now)
	switch {
	case first && waiting == 0:
		return true
	case now.After(w.lateAt) && waiting > 0:
		return false
	case w.s.g.Selector.AllFull(now, w.s.service, all, w.s.demand()):
		return false
	}
	time.Sleep(rand.N(place.JitterWindow(waiting)))
	return true
}

// updateCount keeps the number of waiting calls up to date: a movable call counts while it is not late.
func (w *roomWait) updateCount(now time.Time) {
	inTime := w.s.movable() && now.Before(w.lateAt)
	switch {
	case inTime && !w.counted:
		w.s.g.Loads.AddWaiting(1)
	case !inTime && w.counted:
		w.s.g.Loads.AddWaiting(-1)
	}
	w.counted = inTime
}

func (w *roomWait) pollInterval(now time.Time) time.Duration {
	rank := time.Duration(max(route.Rank(w.s.route, w.s.team), 0))
	d := min(urgentPollInterval*(1+rank), maxPollInterval)
	if now.After(w.lateAt) {
		d = latePollInterval
	}
	return d/2 + rand.N(d)
}

func (w *roomWait) close() {
	if w.counted {
		w.s.g.Loads.AddWaiting(-1)
	}
}
