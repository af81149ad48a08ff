package fleet

import (
	"time"

	"snipeshed/core"
)

// setListed stores an entry of a list at a revision; restored is set if the store has come back from a copy of itself since the list
// before. It returns the endpoint's id if it starts to leave.
func (eps *Endpoints) setListed(now time.Time, revision core.Revision, e core.Endpoint, restored bool) []core.EndpointID {
	old := eps.byID[e.ID]
	if restored {
		leaving := eps.setEntry(now, revision, e)
		eps.setCopied(now.Add(copyTimeout), old, e)
		return leaving
	}
	changed := eps.lastChange(revision, e)
	leaving := eps.setEntry(now, changed, e)
	if old != nil && changed == old.entryRevision {
		eps.setCopied(old.copiedUntil, old, e)
	}
	return leaving
}

// setCopied records that the store may have an entry from a copy, older than what was known of the endpoint before. If its process was
// leaving then, it stays so until the entry changes or the time has passed.
func (eps *Endpoints) setCopied(until time.Time, old *Status, e core.Endpoint) {
	s := eps.byID[e.ID]
	if until.IsZero() || s == old {
		return
	}
	s.copiedUntil = until
	eps.copiedUntil = core.Later(eps.copiedUntil, until)
	if old != nil && old.Leaving && !s.Leaving && old.Started == s.Started {
		s.Leaving, s.LeavingSince, s.held = true, old.LeavingSince, true
	}
}

// endHolds lets the entries count whose copiedUntil has passed, and reports whether an endpoint leaves no longer; eps.mu is held.
func (eps *Endpoints) endHolds(now time.Time) (ended bool) {
	if eps.copiedUntil.IsZero() {
		return false
	}
	eps.copiedUntil = time.Time{}
	for id, s := range eps.byID {
		switch {
		case s.copiedUntil.IsZero() || s.gone:
		case now.Before(s.copiedUntil):
			eps.copiedUntil = core.Later(eps.copiedUntil, s.copiedUntil)
		default:
			changed := *s
			changed.copiedUntil, changed.held = time.Time{}, false
			if _, marked := eps.leavingAt[s.Incarnation()]; s.held && !marked {
				changed.Leaving, ended = false, true
			}
			eps.byID[id] = &changed
		}
	}
	return ended
}
