package news

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"snipeshed/core"
	"snipeshed/core/fleet"
	"snipeshed/core/route"
	"snipeshed/io/event"
	"snipeshed/wire"
)

// News is what an instance knows from the store, directly or through other instances; it is safe for concurrent use.
type News struct {
	dec   core.Decoder
	fleet *fleet.Fleet
	log   *event.Log
	table atomic.Pointer[route.Table]

	mu        sync.Mutex
	raw       []byte
	endpoints map[string][]byte
	known     bool // the endpoint list was read once
	changed   func()
}

// New returns an empty News; changed is called after something newer was taken.
func New(dec core.Decoder, f *fleet.Fleet, log *event.Log, changed func()) *News {
	return &News{dec: dec, fleet: f, log: log, endpoints: map[string][]byte{}, changed: changed}
}

// Table returns the configuration in force, or nil.
func (n *News) Table() *route.Table { return n.table.Load() }

// Known reports whether both the configuration and the endpoint list are known.
func (n *News) Known() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.known && n.table.Load() != nil
}

// Versions returns the version of the configuration and the revision of the endpoint list; 0 means unknown.
func (n *News) Versions() (rules, endpoints core.Version) {
	if t := n.table.Load(); t != nil {
		rules = t.Version
	}
	return rules, n.fleet.Revision()
}

// TakeRules puts a configuration in force unless the one in force is as new.
func (n *News) TakeRules(raw []byte, source string) {
	rules, err := n.dec.Rules(raw)
	if err != nil {
		n.log.Emit(event.RulesPassed, event.Fields{"source": source, "error": err})
		return
	}
	n.mu.Lock()
	old := n.table.Load()
	if old != nil && rules.Version <= old.Version {
		n.mu.Unlock()
		return
	}
	n.table.Store(route.New(rules))
	n.raw = raw
	n.mu.Unlock()
	n.log.Emit(event.RulesTaken, event.Fields{
		"version": rules.Version, "source": source, "routes": len(rules.Routes), "teams": len(rules.Teams),
	})
	n.changed()
}

// TakeEndpoints takes the whole endpoint list at a revision.
func (n *News) TakeEndpoints(revision core.Version, raw map[string][]byte, source string) {
	list := make([]core.Endpoint, 0, len(raw))
	for name, b := range raw {
		if e, ok := n.decode(name, b); ok {
			list = append(list, e)
		}
	}
	n.mu.Lock()
	if !n.fleet.Replace(time.Now(), revision, list) {
		n.mu.Unlock()
		return
	}
	n.endpoints = raw
	n.known = true
	n.mu.Unlock()
	n.log.Emit(event.EndpointTaken, event.Fields{"revision": revision, "endpoints": len(list), "source": source})
	n.changed()
}

// ChangeEndpoint takes the change of one entry; raw is nil when it was removed.
func (n *News) ChangeEndpoint(revision core.Version, name string, raw []byte) {
	now := time.Now()
	n.mu.Lock()
	if raw == nil {
		delete(n.endpoints, name)
	} else {
		n.endpoints[name] = raw
	}
	n.mu.Unlock()
	e, ok := core.Endpoint{}, false
	if raw != nil {
		e, ok = n.decode(name, raw)
	}
	if ok {
		n.fleet.Set(now, revision, e)
		n.log.Emit(event.EndpointTaken, event.Fields{"revision": revision, "endpoint": e.ID, "draining": e.Draining, "source": "store"})
	} else {
		n.fleet.Remove(now, revision, core.EndpointID(name))
	}
	n.changed()
}

func (n *News) decode(name string, raw []byte) (core.Endpoint, bool) {
	e, err := n.dec.Endpoint(core.EndpointID(name), raw)
	if err != nil {
		n.log.Emit(event.EndpointBad, event.Fields{"endpoint": name, "error": err})
		return core.Endpoint{}, false
	}
	return e, true
}

// Fetch gives another instance what it lacks.
func (n *News) Fetch(_ context.Context, known *wire.Known) (*wire.News, error) {
	rules, endpoints := n.Versions()
	n.mu.Lock()
	defer n.mu.Unlock()
	out := &wire.News{}
	if uint64(rules) > known.GetRules() {
		out.Rules = n.raw
	}
	if n.known && uint64(endpoints) > known.GetEndpoints() {
		out.HasEndpoints, out.EndpointsRevision = true, uint64(endpoints)
		for name, raw := range n.endpoints {
			out.Endpoints = append(out.Endpoints, &wire.Record{Name: name, Value: raw})
		}
	}
	return out, nil
}

// Take takes what another instance gave.
func (n *News) Take(from core.InstanceID, in *wire.News) {
	source := "peer " + string(from)
	if len(in.GetRules()) > 0 {
		n.TakeRules(in.GetRules(), source)
	}
	if in.GetHasEndpoints() {
		raw := make(map[string][]byte, len(in.GetEndpoints()))
		for _, r := range in.GetEndpoints() {
			raw[r.GetName()] = r.GetValue()
		}
		n.TakeEndpoints(core.Version(in.GetEndpointsRevision()), raw, source)
	}
}
