package fleet

import (
	"sync"
	"time"

	"snipeshed/core"
)

// forgetAfter is how long an endpoint without an entry is remembered as leaving: its running calls may still end well,
// and a late message must not bring it back.
const forgetAfter = 30 * time.Second

const (
	// unreachableSpan is how long an endpoint that takes no connections is passed over.
	unreachableSpan = 1500 * time.Millisecond
	// outageSpan is the time after an outage of the store in which a missing entry may only have lapsed.
	outageSpan = 3 * time.Second
	// returnSpan is the time in which the entries of live endpoints that lapsed are back.
	returnSpan = 2 * time.Second
)

// Fleet is the endpoints by id; it is safe for concurrent use.
type Fleet struct {
	mu       sync.Mutex
	all      map[core.EndpointID]*Status
	revision core.Version
	services map[core.ServiceName][]*Status // rebuilt on change; its entries are not modified
	outage   time.Time                      // when the store was last known to be down
	onLeave  func(core.EndpointID)
}

// New returns an empty Fleet that calls onLeave for each endpoint that begins to leave, after its change is visible.
func New(onLeave func(core.EndpointID)) *Fleet {
	return &Fleet{all: map[core.EndpointID]*Status{}, services: map[core.ServiceName][]*Status{}, onLeave: onLeave}
}

// Revision returns the revision of the store's list that the Fleet shows; 0 means none yet.
func (f *Fleet) Revision() core.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

// Replace takes the whole list at a revision and reports whether it was newer.
func (f *Fleet) Replace(now time.Time, revision core.Version, list []core.Endpoint) bool {
	f.mu.Lock()
	if revision <= f.revision {
		f.mu.Unlock()
		return false
	}
	f.revision = revision
	seen := make(map[core.EndpointID]bool, len(list))
	var left []core.EndpointID
	for _, e := range list {
		seen[e.ID] = true
		left = append(left, f.set(now, e)...)
	}
	for id, s := range f.all {
		if !seen[id] && !s.gone {
			left = append(left, f.remove(now, id)...)
		}
	}
	f.rebuild(now)
	f.mu.Unlock()
	f.tell(left)
	return true
}

// Set takes a changed entry.
func (f *Fleet) Set(now time.Time, revision core.Version, e core.Endpoint) {
	f.mu.Lock()
	f.revision = max(f.revision, revision)
	left := f.set(now, e)
	f.rebuild(now)
	f.mu.Unlock()
	f.tell(left)
}

// Remove takes the removal of an entry.
func (f *Fleet) Remove(now time.Time, revision core.Version, id core.EndpointID) {
	f.mu.Lock()
	f.revision = max(f.revision, revision)
	left := f.remove(now, id)
	f.rebuild(now)
	f.mu.Unlock()
	f.tell(left)
}

// Hint marks an endpoint as leaving on another instance's word, ahead of its entry.
func (f *Fleet) Hint(now time.Time, id core.EndpointID) {
	f.mu.Lock()
	s := f.all[id]
	if s == nil || s.Leaving {
		f.mu.Unlock()
		return
	}
	changed := *s
	changed.Leaving, changed.Since, changed.hinted = true, now, true
	f.all[id] = &changed
	f.rebuild(now)
	f.mu.Unlock()
	f.tell([]core.EndpointID{id})
}

// Unreachable notes that an endpoint takes no connections and reports whether that is new.
func (f *Fleet) Unreachable(now time.Time, id core.EndpointID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.all[id]
	if s == nil {
		return false
	}
	changed := *s
	changed.Unreachable = now.Add(unreachableSpan)
	f.all[id] = &changed
	f.rebuild(now)
	return !now.Before(s.Unreachable)
}

// Outage notes that the store is down now.
func (f *Fleet) Outage(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outage = now
}

// Expire takes endpoints for gone whose entries lapsed in an outage and are not back in time.
func (f *Fleet) Expire(now time.Time) {
	f.mu.Lock()
	var left []core.EndpointID
	for id, s := range f.all {
		if !s.lapsed.IsZero() && now.Sub(s.lapsed) > returnSpan && now.Sub(f.outage) > returnSpan {
			left = append(left, f.drop(now, id)...)
		}
	}
	if len(left) > 0 {
		f.rebuild(now)
	}
	f.mu.Unlock()
	f.tell(left)
}

// Leaving returns the endpoints that began to leave within the span before now.
func (f *Fleet) Leaving(now time.Time, span time.Duration) []core.EndpointID {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []core.EndpointID
	for id, s := range f.all {
		if s.Leaving && now.Sub(s.Since) <= span {
			out = append(out, id)
		}
	}
	return out
}

// Of returns the endpoints of a service, leaving ones too; the caller must not change them.
func (f *Fleet) Of(service core.ServiceName) []*Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.services[service]
}

// All returns the endpoints that are not gone.
func (f *Fleet) All() []*Status {
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
func (f *Fleet) Get(id core.EndpointID) *Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.all[id]
}

// set stores an entry and returns the endpoint's id if it begins to leave.
func (f *Fleet) set(now time.Time, e core.Endpoint) []core.EndpointID {
	old := f.all[e.ID]
	if old != nil && e.Started < old.Started {
		return nil // an entry of an earlier life
	}
	s := &Status{Endpoint: e, Warm: now.Add(e.Warmup), Leaving: e.Draining, Since: now}
	sameLife := old != nil && e.Started == old.Started
	if sameLife {
		s.Unreachable, s.hinted = old.Unreachable, old.hinted
		s.Leaving = s.Leaving || old.hinted
	}
	if sameLife && old.Leaving && s.Leaving {
		s.Since = old.Since
	}
	f.all[e.ID] = s
	if s.Leaving && (old == nil || !old.Leaving || !sameLife) {
		return []core.EndpointID{e.ID}
	}
	return nil
}

// remove takes the removal of an entry: the endpoint is gone, unless the entry may have lapsed in an outage.
func (f *Fleet) remove(now time.Time, id core.EndpointID) []core.EndpointID {
	old := f.all[id]
	if old == nil || old.gone {
		return nil
	}
	if f.outage.IsZero() || now.Sub(f.outage) > outageSpan || old.Leaving {
		return f.drop(now, id)
	}
	if old.lapsed.IsZero() {
		s := *old
		s.lapsed = now
		f.all[id] = &s
	}
	return nil
}

// drop marks an endpoint as gone and returns its id if it was not leaving yet.
func (f *Fleet) drop(now time.Time, id core.EndpointID) []core.EndpointID {
	old := f.all[id]
	s := *old
	s.gone, s.Leaving, s.lapsed = true, true, time.Time{}
	if !old.Leaving {
		s.Since = now
	}
	f.all[id] = &s
	if old.Leaving {
		return nil
	}
	return []core.EndpointID{id}
}

func (f *Fleet) rebuild(now time.Time) {
	services := make(map[core.ServiceName][]*Status, len(f.services))
	for id, s := range f.all {
		if s.gone && now.Sub(s.Since) > forgetAfter {
			delete(f.all, id)
			continue
		}
		services[s.Service] = append(services[s.Service], s)
	}
	f.services = services
}

func (f *Fleet) tell(left []core.EndpointID) {
	for _, id := range left {
		f.onLeave(id)
	}
}
