package gate

import (
	"math/rand/v2"
	"time"

	"snipeshed/core/fleet"
	"snipeshed/core/place"
	"snipeshed/core/route"
)

// waiting is a call that waits for room. Those that can still begin within their objective go before those that are late,
// which are worth little more to their callers now than in some seconds.
type waiting struct {
	s       *stream
	late    time.Time // from when on its first event is likely to be late
	until   time.Time // when it is refused
	counted bool      // among those that wait and are not late
}

func (s *stream) newWaiting() *waiting {
	objective := time.Duration(roomShare * float64(s.rule.Objective))
	w := &waiting{s: s, late: s.start.Add(objective), until: s.start.Add(objective)}
	if s.movable() {
		w.late = s.start.Add(min(objective, s.rule.Objective-withMargin(place.ReadTime(s.PromptTokens))))
		longest := min(time.Duration(lateShare*float64(s.end.Sub(s.start))), lateObjectives*s.rule.Objective)
		w.until = s.start.Add(max(objective, longest))
	}
	return w
}

// mayLook reports whether the call may look for room now. When room appears while long calls wait at several instances,
// each of them waits for a moment first, so that it hears where those before it went.
func (w *waiting) mayLook(now time.Time, all []*fleet.Status, first bool) bool {
	if !w.s.movable() {
		return true
	}
	_, others := w.s.g.Tally.Waiting(now)
	switch {
	case first && others == 0:
		return true
	case now.After(w.late) && others > 0:
		return false
	case w.s.g.Place.Full(now, w.s.service, all, w.s.demand()):
		return false
	}
	time.Sleep(rand.N(place.Settle(others)))
	return true
}

// count counts a long call while it waits and is not late.
func (w *waiting) count(now time.Time) {
	inTime := w.s.movable() && now.Before(w.late)
	switch {
	case inTime && !w.counted:
		w.s.g.Tally.Wait(1)
	case !inTime && w.counted:
		w.s.g.Tally.Wait(-1)
	}
	w.counted = inTime
}

func (w *waiting) interval(now time.Time) time.Duration {
	rank := time.Duration(max(route.Rank(w.s.rule, w.s.team), 0))
	d := min(urgentInterval*(1+rank), longestInterval)
	if now.After(w.late) {
		d = lateInterval
	}
	return d/2 + rand.N(d)
}

func (w *waiting) close() {
	if w.counted {
		w.s.g.Tally.Wait(-1)
	}
}
