package member

import (
	"cmp"
	"slices"
	"time"

	"snipeshed/core"
	"snipeshed/wire"
)

// selfReport is the state that an instance reported about itself. Within one run of
// its process, leaving never reverts to false, so digests may arrive out of order.
type selfReport struct {
	run        uint64
	leaving    bool
	receivedAt time.Time
	// changed reports whether this report changed the instance's leaving state.
	changed bool
}

// RecordSelfReport records a state that an instance itself reported and reports whether its leaving state changed.
func (m *Membership) RecordSelfReport(now time.Time, id core.InstanceID, run uint64, leaving bool) bool {
	return m.recordSelfReport(now, id, run, leaving, true)
}

// RecordRelayedReport records an instance's state that another instance relayed and reports whether its leaving state
// changed.
func (m *Membership) RecordRelayedReport(now time.Time, report *wire.Word) bool {
	return m.recordSelfReport(now, core.InstanceID(report.GetId()), report.GetRun(), report.GetLeaving(), false)
}

func (m *Membership) recordSelfReport(now time.Time, id core.InstanceID, run uint64, leaving, direct bool) bool {
	m.mu.RLock()
	old, found := m.selfReports[id]
	m.mu.RUnlock()
	if !m.supersedes(old, found, run, leaving, direct) {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	old, found = m.selfReports[id]
	if !m.supersedes(old, found, run, leaving, direct) {
		return false
	}
	changed := leaving != old.leaving
	m.selfReports[id] = selfReport{run: run, leaving: leaving, receivedAt: now, changed: changed}
	return changed
}

// supersedes reports whether a new report replaces the old one. A run is the start
// time of the instance's process. A report from the instance itself replaces that
// of any other run, because its clock may have been set back between two runs.
func (m *Membership) supersedes(old selfReport, found bool, run uint64, leaving, direct bool) bool {
	switch {
	case !found:
		return direct || leaving
	case run == old.run:
		return leaving && !old.leaving
	default:
		return direct || run > old.run
	}
}

// RecentReports returns the reports received within a time that changed an instance's leaving state: it began to leave
// or restarted.
func (m *Membership) RecentReports(now time.Time, within time.Duration) []*wire.Word {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var words []*wire.Word
	for id, report := range m.selfReports {
		if report.changed && now.Sub(report.receivedAt) <= within {
			words = append(words, &wire.Word{Id: string(id), Run: report.run, Leaving: report.leaving})
		}
	}
	slices.SortFunc(words, func(a, b *wire.Word) int { return cmp.Compare(a.GetId(), b.GetId()) })
	return words
}

// IsLeaving reports whether an instance is leaving by its own report or not live in the list.
func (m *Membership) IsLeaving(id core.InstanceID) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	i, found := m.find(id)
	return m.selfReports[id].leaving || found && !m.fleet[i].live
}
