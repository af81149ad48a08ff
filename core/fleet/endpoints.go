package fleet

import (
	"slices"
	"sync"
	"time"

	"snipeshed/core"
)

// goneRetention is how long an endpoint without an entry is kept as leaving: its running calls may still succeed, and a
// late message must not add it again.
const goneRetention = 30 * time.Second

const (
	// unreachablePeriod is how long an endpoint that accepts no connections is avoided.
	unreachablePeriod = 1500 * time.Millisecond
	// maxBackoff bounds the time for which an endpoint is sent no requests at its own request, so that a nonsensical value does
	// not remove it for good.
	maxBackoff = 10 * time.Minute
	// returnTimeout is the time after the end of a store outage within which live endpoints have written their expired entries
	// again. An entry that is missing later, or is removed later, is that of an endpoint that is gone.
	returnTimeout = 2200 * time.Millisecond
	// markRetention is how long a mark as leaving is kept for an incarnation that has no entry; the entry may be written again
	// after it lapsed.
	markRetention = 5 * time.Minute
	// copyTimeout is how long an entry that the store has from a copy of itself is not believed that its endpoint no longer leaves. It is
	// longer than the entry of an endpoint that has ended stays in the store.
	copyTimeout = 10 * time.Second
)

// Endpoints holds the known endpoints, including leaving and recently removed ones; it is safe for concurrent use.
type Endpoints struct {
	mu         sync.Mutex
	byID       map[core.EndpointID]*Status
	leavingAt  map[core.Incarnation]time.Time // marked as leaving, whatever their entries say
	revision   core.Revision
	byService  map[core.ServiceName][]*Status // copy on write: replaced after changes, never modified
	evacuated  []core.FailureDomain           // whose endpoints byService lacks
	changedAt  time.Time                      // of the last change that byService lacks; zero if there is none
	lastOutage time.Time                      // time at which the store was last known to be down
	// lastLeft is not before the time at which any endpoint began to leave, and hasLapsed is set if an entry may have lapsed.
	// They spare looks at each endpoint, many times a second, at something that is rare.
	lastLeft  time.Time
	hasLapsed bool
	// copiedUntil is not before the time of that name of any endpoint; zero if none has one.
	copiedUntil time.Time
	onLeave     func(core.EndpointID)
	onRestart   func(core.Incarnation)
	replaced    []core.Incarnation // for which onRestart is due
}

// Option configures Endpoints.
type Option func(*Endpoints)

// WithRestartHook sets a function that is called for each process that another one with the same endpoint id has replaced although
// it was not leaving, after the change is visible.
func WithRestartHook(fn func(core.Incarnation)) Option {
	return func(eps *Endpoints) { eps.onRestart = fn }
}

// New returns empty Endpoints that call onLeave for each endpoint that starts to leave, after the change is visible.
func New(onLeave func(core.EndpointID), opts ...Option) *Endpoints {
	eps := &Endpoints{
		byID: map[core.EndpointID]*Status{}, leavingAt: map[core.Incarnation]time.Time{},
		byService: map[core.ServiceName][]*Status{}, onLeave: onLeave, onRestart: func(core.Incarnation) {},
	}
	for _, opt := range opts {
		opt(eps)
	}
	return eps
}

// Revision returns the revision of the store's list that the entries reflect; zero before the first list.
func (eps *Endpoints) Revision() core.Revision {
	eps.mu.Lock()
	defer eps.mu.Unlock()
	return eps.revision
}

// ReplaceAll replaces all entries with the full list at a revision, unless it is not newer, and reports whether it did.
func (eps *Endpoints) ReplaceAll(now time.Time, revision core.Revision, list []core.Endpoint) bool {
	eps.mu.Lock()
	if !revision.After(eps.revision) {
		eps.mu.Unlock()
		return false
	}
	restored := eps.revision.Era != 0 && eps.revision.Era != revision.Era
	eps.revision = revision
	if restored {
		eps.lastOutage = now // the entries that the store has lost are missing as those that lapse in an outage are
	}
	seen := make(map[core.EndpointID]bool, len(list))
	var leaving []core.EndpointID
	for _, e := range list {
		seen[e.ID] = true
		leaving = append(leaving, eps.setListed(now, revision, e, restored)...)
	}
	for id, s := range eps.byID {
		if !seen[id] && !s.gone {
			leaving = append(leaving, eps.removeEntry(now, id)...)
		}
	}
	eps.changedAt = now
	replaced := eps.takeReplaced()
	eps.mu.Unlock()
	eps.notifyLeaving(leaving)
	eps.notifyRestarted(replaced)
	return true
}

// Set stores a new or changed entry.
func (eps *Endpoints) Set(now time.Time, revision core.Revision, e core.Endpoint) {
	eps.mu.Lock()
	eps.revision = core.LaterRevision(eps.revision, revision)
	leaving := eps.setEntry(now, revision, e)
	eps.changedAt = now
	replaced := eps.takeReplaced()
	eps.mu.Unlock()
	eps.notifyLeaving(leaving)
	eps.notifyRestarted(replaced)
}

// Remove handles the removal of an entry from the store.
func (eps *Endpoints) Remove(now time.Time, revision core.Revision, id core.EndpointID) {
	eps.mu.Lock()
	eps.revision = core.LaterRevision(eps.revision, revision)
	leaving := eps.removeEntry(now, id)
	eps.changedAt = now
	eps.mu.Unlock()
	eps.notifyLeaving(leaving)
}

// RecordStoreOutage records that the store is down now.
func (eps *Endpoints) RecordStoreOutage(now time.Time) {
	eps.mu.Lock()
	defer eps.mu.Unlock()
	eps.lastOutage = now
}

// ExpireLapsed marks endpoints as gone whose entries expired in a store outage, or were lost when the store came back from a copy, and
// were not written again in time. It also ends the holds that are due.
func (eps *Endpoints) ExpireLapsed(now time.Time) {
	eps.mu.Lock()
	leaving := eps.expireLapsed(now)
	if eps.endHolds(now) || len(leaving) > 0 {
		eps.changedAt = now
	}
	eps.rebuild()
	eps.mu.Unlock()
	eps.notifyLeaving(leaving)
}

// expireLapsed marks lapsed endpoints as gone and returns those that were not leaving yet; eps.mu is held.
func (eps *Endpoints) expireLapsed(now time.Time) (leaving []core.EndpointID) {
	if !eps.hasLapsed {
		return nil
	}
	eps.hasLapsed = false
	for id, s := range eps.byID {
		switch {
		case !s.lapsed:
		case now.Sub(eps.lastOutage) > returnTimeout:
			leaving = append(leaving, eps.markGone(now, id)...)
		default:
			eps.hasLapsed = true
		}
	}
	return leaving
}

// RecentlyLeaving returns the endpoints that started to leave within the span before now.
func (eps *Endpoints) RecentlyLeaving(now time.Time, span time.Duration) []core.Incarnation {
	eps.mu.Lock()
	defer eps.mu.Unlock()
	if now.Sub(eps.lastLeft) > span {
		return nil
	}
	var out []core.Incarnation
	for _, s := range eps.byID {
		if s.Leaving && now.Sub(s.LeavingSince) <= span {
			out = append(out, s.Incarnation())
		}
	}
	return out
}

// OfService returns the endpoints of a service, leaving ones too, without those of evacuated failure domains; the caller must not
// change them.
func (eps *Endpoints) OfService(service core.ServiceName) []*Status {
	eps.mu.Lock()
	defer eps.mu.Unlock()
	eps.rebuild()
	return eps.byService[service]
}

// All returns the endpoints of all services that are not gone, including leaving ones.
func (eps *Endpoints) All() []*Status {
	eps.mu.Lock()
	defer eps.mu.Unlock()
	out := make([]*Status, 0, len(eps.byID))
	for _, s := range eps.byID {
		if !s.gone {
			out = append(out, s)
		}
	}
	return out
}

// Get returns an endpoint, or nil.
func (eps *Endpoints) Get(id core.EndpointID) *Status {
	eps.mu.Lock()
	defer eps.mu.Unlock()
	return eps.byID[id]
}

// lastChange returns the revision at which an entry of the list at a revision was last changed, as far as is known.
func (eps *Endpoints) lastChange(revision core.Revision, e core.Endpoint) core.Revision {
	if old := eps.byID[e.ID]; old != nil && !old.gone && old.Endpoint == e {
		return old.entryRevision
	}
	return revision
}

// setEntry stores an entry that was last changed at a revision, and returns the endpoint's id if it starts to leave.
func (eps *Endpoints) setEntry(now time.Time, revision core.Revision, e core.Endpoint) []core.EndpointID {
	old := eps.byID[e.ID]
	if old != nil && e.Started < old.Started {
		return nil // an entry from before the endpoint's last restart
	}
	if old != nil && old.Started != 0 && e.Started > old.Started && !old.Leaving {
		eps.replaced = append(eps.replaced, old.Incarnation())
	}
	s := &Status{Endpoint: e, WarmAt: now.Add(e.Warmup), Leaving: e.Draining, LeavingSince: now, entryRevision: revision}
	if at, ok := eps.leavingAt[e.Incarnation()]; ok {
		s.Leaving, s.LeavingSince = true, at
	}
	sameStart := old != nil && e.Started == old.Started
	if sameStart {
		s.UnreachableUntil, s.BackoffUntil, s.ReturnedAt = old.UnreachableUntil, old.BackoffUntil, old.ReturnedAt
	}
	if sameStart && old.peerReport.coversEntry(revision) {
		s.Leaving, s.peerReport = true, old.peerReport
	}
	if sameStart && old.Leaving && s.Leaving {
		s.LeavingSince = old.LeavingSince
	}
	eps.byID[e.ID] = s
	if s.Leaving {
		eps.lastLeft = core.Later(eps.lastLeft, s.LeavingSince)
	}
	if s.Leaving && (old == nil || !old.Leaving || !sameStart) {
		return []core.EndpointID{e.ID}
	}
	return nil
}

// removeEntry handles the removal of an entry: the endpoint is gone, unless its lease may have expired in a store outage.
func (eps *Endpoints) removeEntry(now time.Time, id core.EndpointID) []core.EndpointID {
	old := eps.byID[id]
	if old == nil || old.gone {
		return nil
	}
	if eps.lastOutage.IsZero() || now.Sub(eps.lastOutage) > returnTimeout || old.Leaving {
		return eps.markGone(now, id)
	}
	if !old.lapsed {
		s := *old
		s.lapsed = true
		eps.byID[id] = &s
		eps.hasLapsed = true
	}
	return nil
}

// markGone marks an endpoint as gone and returns its id if it was not leaving yet.
func (eps *Endpoints) markGone(now time.Time, id core.EndpointID) []core.EndpointID {
	old := eps.byID[id]
	s := *old
	s.gone, s.Leaving, s.lapsed = true, true, false
	if !old.Leaving {
		s.LeavingSince = now
		eps.lastLeft = core.Later(eps.lastLeft, now)
	}
	eps.byID[id] = &s
	if old.Leaving {
		return nil
	}
	return []core.EndpointID{id}
}

// rebuild recomputes byService after changes, and drops endpoints that are gone and began to leave more than goneRetention ago, and
// old marks of incarnations without an entry. It runs when the result is needed, not after each change: of thousands of endpoints
// hundreds change in a second.
func (eps *Endpoints) rebuild() {
	if eps.changedAt.IsZero() {
		return
	}
	now := eps.changedAt
	eps.changedAt = time.Time{}
	byService := make(map[core.ServiceName][]*Status, len(eps.byService))
	for id, s := range eps.byID {
		if s.gone && now.Sub(s.LeavingSince) > goneRetention {
			delete(eps.byID, id)
			continue
		}
		if !slices.Contains(eps.evacuated, s.Domain) {
			byService[s.Service] = append(byService[s.Service], s)
		}
	}
	eps.byService = byService
	for inc, at := range eps.leavingAt {
		s := eps.byID[inc.ID]
		if now.Sub(at) > markRetention && (s == nil || s.Started != inc.Started) {
			delete(eps.leavingAt, inc)
		}
	}
}

func (eps *Endpoints) notifyLeaving(leaving []core.EndpointID) {
	for _, id := range leaving {
		eps.onLeave(id)
	}
}

// takeReplaced returns the processes for which onRestart is due; eps.mu is held.
func (eps *Endpoints) takeReplaced() []core.Incarnation {
	out := eps.replaced
	eps.replaced = nil
	return out
}

func (eps *Endpoints) notifyRestarted(replaced []core.Incarnation) {
	for _, inc := range replaced {
		eps.onRestart(inc)
	}
}
