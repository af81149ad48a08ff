package admit

import "snipeshed/core"

// sequenceLimit learns an engine's own limit of running sequences from its load reports.
//
// Calls beyond that limit wait in the engine's queue, which is ordered by priority only: in a flood of urgent work,
// engines with a limit of 4 sequences let less urgent calls wait until their deadlines, whatever the floor of their rank.
type sequenceLimit struct {
	// limit is the learned limit, 0 while it is unknown.
	limit int
	// waitedRunning is the number of running sequences in the last report if others waited for a slot, else 0.
	waitedRunning int
	// reportsWithoutWait counts reports of a full engine without waiting calls since a call last waited.
	reportsWithoutWait int
}

const (
	// memoryBoundPercent is the memory use below which calls that wait at an engine wait for a slot and not for memory.
	memoryBoundPercent = 90
	// maxStepDifference is the largest difference in running sequences between two reports of a full engine: a sequence
	// that has ended is replaced only at the next step.
	maxStepDifference = 1
	// After reportsToGrow reports the limit grows by 1/growthDivisor, since an engine may have been restarted with
	// another limit. A call beyond what an engine runs takes a slot from the less urgent ranks, so this must be rare.
	reportsToGrow, growthDivisor = 4, 4
)

// update adjusts the limit from a load report. A limit is learned only from two reports in a row, because a call that has
// just arrived waits for the next step anyway.
func (s *sequenceLimit) update(l core.RunnerLoad) {
	waits := l.Waiting > 0 && l.Running > 0 && l.KVUsed < l.KVCapacity*memoryBoundPercent/percent
	switch {
	case waits && s.waitedRunning > 0 && max(l.Running, s.waitedRunning)-min(l.Running, s.waitedRunning) <= maxStepDifference:
		s.limit = max(l.Running, s.waitedRunning)
	case s.limit > 0 && l.Running > s.limit:
		s.limit = l.Running
	case s.limit > 0 && l.Waiting == 0 && l.Running == s.limit:
		s.reportsWithoutWait++
	}
	if s.reportsWithoutWait == reportsToGrow {
		s.limit += max(s.limit/growthDivisor, 1)
		s.reportsWithoutWait = 0
	}
	s.waitedRunning = 0
	if waits {
		s.waitedRunning, s.reportsWithoutWait = l.Running, 0
	}
}
