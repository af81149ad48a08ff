package blame

import (
	"slices"
	"time"

	"snipeshed/core"
)

const (
	// maxReportedClears bounds the size of a report; further cleared parts are told once others have been.
	maxReportedClears = 32
	// maxReportedLosses bounds the losses of a report other than those of answers that had begun. A crash loses dozens of requests,
	// and each instance tells its own.
	maxReportedLosses = 64
	// lossTellSpan is how long such a loss is told unless a part of it was lost in another crash too.
	lossTellSpan = 5 * time.Second
)

// Report returns what other instances must know.
func (t *Tracker) Report(now time.Time) core.BlameReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	out := core.BlameReport{Version: t.version}
	counts := t.crashCounts()
	limit, atLimit := t.reportLimit(now, counts)
	for _, c := range t.crashes {
		r := core.CrashReport{Engine: c.engine, Host: c.host, Age: now.Sub(c.at), Unused: now.Sub(c.usedAt)}
		for _, l := range c.losses {
			switch n := countOf(l, counts); {
			case l.Evidence == core.EvidenceHead, isTold(r.Age, n) && n > limit:
			case isTold(r.Age, n) && n == limit && atLimit > 0:
				atLimit--
			default:
				continue
			}
			r.Losses = append(r.Losses, l)
		}
		if len(r.Losses) > 0 {
			out.Crashes = append(out.Crashes, r)
		}
	}
	for part, c := range t.cleared {
		if now.Before(c.tellUntil) && len(out.Cleared) < maxReportedClears {
			out.Cleared = append(out.Cleared, core.ClearReport{Part: part, Age: now.Sub(c.at)})
			if !c.completeAt.IsZero() {
				out.Cleared = append(out.Cleared, core.ClearReport{Part: part, Complete: true, Age: now.Sub(c.completeAt)})
			}
		}
	}
	return out
}

// countOf returns the number of crashes of the part of a loss that has most.
func countOf(l core.Loss, counts map[core.PromptPart]int) int {
	n := 0
	for _, part := range l.Parts {
		n = max(n, counts[part])
	}
	return n
}

// isTold reports whether a loss is told at all, given the age of its crash and the number of crashes of its parts.
func isTold(age time.Duration, n int) bool { return age <= lossTellSpan || n > 1 }

// reportLimit returns the number of crashes that a part of a loss must have, and how many losses with just that number fit, for the
// report to stay within maxReportedLosses.
func (t *Tracker) reportLimit(now time.Time, counts map[core.PromptPart]int) (limit, atLimit int) {
	var all []int
	for _, c := range t.crashes {
		for _, l := range c.losses {
			if n := countOf(l, counts); l.Evidence != core.EvidenceHead && isTold(now.Sub(c.at), n) {
				all = append(all, n)
			}
		}
	}
	if len(all) <= maxReportedLosses {
		return 0, 0
	}
	slices.Sort(all)
	told := all[len(all)-maxReportedLosses:]
	for _, n := range told {
		if n == told[0] {
			atLimit++
		}
	}
	return told[0], atLimit
}

// Merge adds the report of another instance.
func (t *Tracker) Merge(now time.Time, r core.BlameReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range r.Cleared {
		if len(c.Part) <= maxPartBytes && c.Age <= retention {
			t.clearOnReport(now, c)
		}
	}
	for _, c := range r.Crashes {
		if c.Unused > retention {
			continue
		}
		info := crashInfo{engine: c.Engine, host: c.Host, at: now.Add(-c.Age), usedAt: now.Add(-c.Unused)}
		for _, l := range c.Losses {
			t.tellAnswers(now, info.at, l)
			t.addCrash(now, info, l)
		}
	}
}

// clearOnReport clears a part that another instance reports as answered, if that is news here. Each hop of a report adds its
// delay to the time of the answer; it must not be taken for a newer answer and passed on without end.
func (t *Tracker) clearOnReport(now time.Time, r core.ClearReport) {
	c := clearing{at: now.Add(-r.Age)}
	if r.Complete {
		c.completeAt = c.at
	}
	old := t.cleared[r.Part]
	if old == nil || (r.Complete && old.completeAt.IsZero()) || t.explainsAny(r.Part, c) {
		t.clear(r.Part, c)
	}
}
