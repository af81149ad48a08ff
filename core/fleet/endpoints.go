package fleet

import (
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
	// lapseWindow is the time after a store outage during which a missing entry may be due to an expired lease.
	lapseWindow = 3 * time.Second
	// returnTimeout is the time within which live endpoints write their lapsed entries again.
	returnTimeout = 2 * time.Second
)

// Endpoints holds the known endpoints by id; it is safe for concurrent use.
type Endpoints struct {
	mu         sync.Mutex
	all        map[core.EndpointID]*Status
	revision   core.Version
	services   map[core.ServiceName][]*Status // copy on write: replaced on each change, never modified
	lastOutage time.Time                      // time at which the store was last known to be down
	onLeave    func(core.EndpointID)
}

// New returns empty Endpoints that call onLeave for each endpoint that starts to leave, after the change is visible.
func New(onLeave func(core.EndpointID)) *Endpoints {
	return &Endpoints{all: map[core.EndpointID]*Status{}, services: map[core.ServiceName][]*Status{}, onLeave: onLeave}
}

// Revision returns the revision of the store's list that the entries reflect; 0 before the first list.
func (f *Endpoints) Revision() core.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

// ReplaceAll replaces all entries with the full list at a revision, unless it is not newer, and reports whether it did.
func (f *Endpoints) ReplaceAll(now time.Time, revision core.Version, list []core.Endpoint) bool {
	f.mu.Lock()
	if revision <= f.revision {
		f.mu.Unlock()
		return false
	}
	f.revision = revision
	seen := make(map[core.EndpointID]bool, len(list))
	var leaving []core.EndpointID
	for _, e := range list {
		seen[e.ID] = true
		leaving = append(leaving, f.setEntry(now, e)...)
	}
	for id, s := range f.all {
		if !seen[id] && !s.gone {
			leaving = append(leaving, f.removeEntry(now, id)...)
		}
	}
	f.rebuild(now)
	f.mu.Unlock()
	f.notifyLeaving(leaving)
	return true
}

// Set stores a new or changed entry.
func (f *Endpoints) Set(now time.Time, revision core.Version, e core.Endpoint) {
	f.mu.Lock()
	f.revision = max(f.revision, revision)
	leaving := f.setEntry(now, e)
	f.rebuild(now)
	f.mu.Unlock()
	f.notifyLeaving(leaving)
}

// Remove handles the removal of an entry from the store.
func (f *Endpoints) Remove(now time.Time, revision core.Version, id core.EndpointID) {
	f.mu.Lock()
	f.revision = max(f.revision, revision)
	leaving := f.removeEntry(now, id)
	f.rebuild(now)
	f.mu.Unlock()
	f.notifyLeaving(leaving)
}

// MarkLeaving marks an endpoint as leaving before its entry says so, on a report of the endpoint itself or another
// instance.
func (f *Endpoints) MarkLeaving(now time.Time, id core.EndpointID) {
	f.mu.Lock()
	s := f.all[id]
	if s == nil || s.Leaving {
		f.mu.Unlock()
		return
	}
	changed := *s
	changed.Leaving, changed.LeavingSince, changed.reportedLeaving = true, now, true
	f.all[id] = &changed
	f.rebuild(now)
	f.mu.Unlock()
	f.notifyLeaving([]core.EndpointID{id})
}

// MarkUnreachable marks an endpoint as unreachable for a while and reports whether it was not marked before.
func (f *Endpoints) MarkUnreachable(now time.Time, id core.EndpointID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.all[id]
	if s == nil {
		return false
	}
	changed := *s
	changed.UnreachableUntil = now.Add(unreachablePeriod)
	f.all[id] = &changed
	f.rebuild(now)
	return !now.Before(s.UnreachableUntil)
}

// RecordStoreOutage records that the store is down now.
func (f *Endpoints) RecordStoreOutage(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastOutage = now
}

// ExpireLapsed marks endpoints as gone whose entries lapsed during a store outage and did not return in time.
func (f *Endpoints) ExpireLapsed(now time.Time) {
	f.mu.Lock()
	var leaving []core.EndpointID
	for id, s := range f.all {
		if !s.lapsedAt.IsZero() && now.Sub(s.lapsedAt) > returnTimeout && now.Sub(f.lastOutage) > returnTimeout {
			leaving = append(leaving, f.markGone(now, id)...)
		}
	}
	if len(leaving) > 0 {
		f.rebuild(now)
	}
	f.mu.Unlock()
	f.notifyLeaving(leaving)
}

// RecentlyLeaving returns the endpoints that started to leave within the span before now.
func (f *Endpoints) RecentlyLeaving(now time.Time, span time.Duration) []core.EndpointID {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []core.EndpointID
	for id, s := range f.all {
		if s.Leaving && now.Sub(s.LeavingSince) <= span {
			out = append(out, id)
		}
	}
	return out
}

// OfService returns the endpoints of a service, leaving ones too; the caller must not change them.
func (f *Endpoints) OfService(service core.ServiceName) []*Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.services[service]
}

// All returns the endpoints of all services that are not gone, including leaving ones.
func (f *Endpoints) All() []*Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]*Status, 0, len(f.all))
	for _, s := range f.all {
		if !s.gone {
			out = append(out, s)
		}
	}
	return out
}

// Get returns an endpoint, or nil.
func (f *Endpoints) Get(id core.EndpointID) *Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.all[id]
}

// setEntry stores an entry and returns the endpoint's id if it starts to leave.
func (f *Endpoints) setEntry(now time.Time, e core.Endpoint) []core.EndpointID {
	old := f.all[e.ID]
	if old != nil && e.Started < old.Started {
		return nil // an entry from before the endpoint's last restart
	}
	s := &Status{Endpoint: e, WarmAt: now.Add(e.Warmup), Leaving: e.Draining, LeavingSince: now}
	sameStart := old != nil && e.Started == old.Started
	if sameStart {
		s.UnreachableUntil, s.reportedLeaving = old.UnreachableUntil, old.reportedLeaving
		s.Leaving = s.Leaving || old.reportedLeaving
	}
	if sameStart && old.Leaving && s.Leaving {
		s.LeavingSince = old.LeavingSince
	}
	f.all[e.ID] = s
	if s.Leaving && (old == nil || !old.Leaving || !sameStart) {
		return []core.EndpointID{e.ID}
	}
	return nil
}

// removeEntry handles the removal of an entry: the endpoint is gone, unless its lease may have expired in a store outage.
func (f *Endpoints) removeEntry(now time.Time, id core.EndpointID) []core.EndpointID {
	old := f.all[id]
	if old == nil || old.gone {
		return nil
	}
	if f.lastOutage.IsZero() || now.Sub(f.lastOutage) > lapseWindow || old.Leaving {
		return f.markGone(now, id)
	}
	if old.lapsedAt.IsZero() {
		s := *old
		s.lapsedAt = now
		f.all[id] = &s
	}
	return nil
}

// markGone marks an endpoint as gone and returns its id if it was not leaving yet.
func (f *Endpoints) markGone(now time.Time, id core.EndpointID) []core.EndpointID {
	old := f.all[id]
	s := *old
	s.gone, s.Leaving, s.lapsedAt = true, true, time.Time{}
	if !old.Leaving {
		s.LeavingSince = now
	}
	f.all[id] = &s
	if old.Leaving {
		return nil
	}
	return []core.EndpointID{id}
}

func (f *Endpoints) rebuild(now time.Time) {
	services := make(map[core.ServiceName][]*Status, len(f.services))
	for id, s := range f.all {
		if s.gone && now.Sub(s.LeavingSince) > goneRetention {
			delete(f.all, id)
			continue
		}
		services[s.Service] = append(services[s.Service], s)
	}
	f.services = services
}

func (f *Endpoints) notifyLeaving(leaving []core.EndpointID) {
	for _, id := range leaving {
		f.onLeave(id)
	}
}
