package fleet

import (
	"time"

	"snipeshed/core"
)

// MarkLeaving marks an incarnation of an endpoint as leaving, whatever its entry says, on a report of the endpoint itself; it
// reports whether the endpoint was not known to be leaving. An unknown start time means the present one.
func (eps *Endpoints) MarkLeaving(now time.Time, inc core.Incarnation) bool {
	eps.mu.Lock()
	if s := eps.byID[inc.ID]; s != nil && inc.Started == 0 {
		inc.Started = s.Started
	}
	if _, ok := eps.leavingAt[inc]; !ok {
		eps.leavingAt[inc] = now
	}
	marked := eps.markLeaving(now, inc, func(*Status) bool { return true })
	eps.mu.Unlock()
	if marked {
		eps.notifyLeaving([]core.EndpointID{inc.ID})
	}
	return marked
}

// ApplyPeerReport marks an endpoint as leaving on a report of another instance, which knows the store's list at a revision.
// The report counts until the entry changes after that revision: an entry that was removed or malformed for a while may be
// written again by a live endpoint.
func (eps *Endpoints) ApplyPeerReport(now time.Time, revision core.Revision, inc core.Incarnation) {
	eps.mu.Lock()
	marked := eps.markLeaving(now, inc, func(s *Status) bool {
		report := peerReport{isSet: true, revision: revision}
		if !report.coversEntry(s.entryRevision) {
			return false
		}
		if now.Before(s.copiedUntil) {
			s.held = true // the other instance may know this from before the store came back
		} else {
			s.peerReport = report
		}
		return true
	})
	eps.mu.Unlock()
	if marked {
		eps.notifyLeaving([]core.EndpointID{inc.ID})
	}
}

// markLeaving marks an endpoint as leaving unless it is unknown, already leaving or another incarnation, or record returns
// false; it reports whether it did.
func (eps *Endpoints) markLeaving(now time.Time, inc core.Incarnation, record func(*Status) bool) bool {
	s := eps.byID[inc.ID]
	if s == nil || s.Leaving || (inc.Started != 0 && s.Started != inc.Started) {
		return false
	}
	changed := *s
	if !record(&changed) {
		return false
	}
	changed.Leaving, changed.LeavingSince = true, now
	eps.byID[inc.ID] = &changed
	eps.lastLeft = core.Later(eps.lastLeft, now)
	eps.changedAt = now
	return true
}

// MarkUnreachable marks an endpoint as unreachable for a while and reports whether it was not marked before.
func (eps *Endpoints) MarkUnreachable(now time.Time, id core.EndpointID) bool {
	eps.mu.Lock()
	defer eps.mu.Unlock()
	s := eps.byID[id]
	if s == nil {
		return false
	}
	changed := *s
	changed.UnreachableUntil = now.Add(unreachablePeriod)
	eps.byID[id] = &changed
	eps.changedAt = now
	return !now.Before(s.UnreachableUntil)
}

// MarkBackoff records that an incarnation of an endpoint wants no requests from this instance for a time, at most maxBackoff,
// and reports whether that ends later than was known. A later answer does not shorten the time.
func (eps *Endpoints) MarkBackoff(now time.Time, inc core.Incarnation, d time.Duration) bool {
	eps.mu.Lock()
	defer eps.mu.Unlock()
	s := eps.byID[inc.ID]
	until := now.Add(min(d, maxBackoff))
	if s == nil || s.Started != inc.Started || !until.After(now) || !until.After(s.BackoffUntil) {
		return false
	}
	changed := *s
	changed.BackoffUntil = until
	eps.byID[inc.ID] = &changed
	eps.changedAt = now
	return true
}
