package admit

import "snipeshed/core"

// sequences is an engine's own limit of running sequences, learned from its reports.
//
// Calls beyond it wait at the engine, which serves them by priority only: in a flood of urgent work, engines of 4
// sequences let less urgent calls wait until their deadlines, whatever the floor of their rank.
type sequences struct {
	// limit is 0 while none is known.
	limit int
	// waited is the number of sequences that ran in the last report if others waited for a place, else 0.
	waited int
}

const (
	// roomPercent is the part of the memory below which calls that wait at an engine wait for a place and not for memory.
	roomPercent = 90
	// regrowth divides a limit: each report of a full engine without waiting calls lets it grow by this part, since an engine
	// may have been restarted with another limit.
	regrowth = 4
)

// report takes a new report. One alone proves nothing: a call that has just arrived waits for the next step.
func (s *sequences) report(l core.RunnerLoad) {
	waits := l.Waiting > 0 && l.KVUsed < l.KVCapacity*roomPercent/percent
	switch {
	case waits && l.Running > 0 && l.Running == s.waited:
		s.limit = l.Running
	case s.limit > 0 && l.Waiting == 0 && l.Running >= s.limit:
		s.limit = l.Running + max(l.Running/regrowth, 1)
	}
	s.waited = 0
	if waits {
		s.waited = l.Running
	}
}
