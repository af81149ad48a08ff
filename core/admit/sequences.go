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
	// calm counts reports in a row of a full engine at which nothing waited.
	calm int
}

const (
	// roomPercent is the part of the memory below which calls that wait at an engine wait for a place and not for memory.
	roomPercent = 90
	// betweenSteps is the difference of two reports of a full engine: a sequence that ended is replaced at the next step.
	betweenSteps = 1
	// calmReports in a row let a limit grow by its regrowth-th part, since an engine may have been restarted with another
	// limit. One more call than an engine runs takes a place from the less urgent ranks, so this must be seldom.
	calmReports, regrowth = 4, 4
)

// report takes a new report. One alone proves nothing: a call that has just arrived waits for the next step.
func (s *sequences) report(l core.RunnerLoad) {
	waits := l.Waiting > 0 && l.Running > 0 && l.KVUsed < l.KVCapacity*roomPercent/percent
	switch {
	case waits && s.waited > 0 && max(l.Running, s.waited)-min(l.Running, s.waited) <= betweenSteps:
		s.limit = max(l.Running, s.waited)
	case s.limit > 0 && l.Running > s.limit:
		s.limit = l.Running
	case s.limit > 0 && l.Waiting == 0 && l.Running == s.limit:
		s.calm++
	}
	if s.calm == calmReports {
		s.limit += max(s.limit/regrowth, 1)
		s.calm = 0
	}
	s.waited = 0
	if waits {
		s.waited, s.calm = l.Running, 0
	}
}
