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

	mu       sync.Mutex
	packed   []byte // the configuration in force, compressed
	list     *list  // nil until the endpoint list was read once
	revision core.Version
	changed  func()
}

// New returns an empty News; changed is called after something newer was taken from the store.
func New(dec core.Decoder, f *fleet.Fleet, log *event.Log, changed func()) *News {
	return &News{dec: dec, fleet: f, log: log, changed: changed}
}

// sourceStore marks what comes from the store itself; what other instances gave, they have told all others as well.
const sourceStore = "store"

// Table returns the configuration in force, or nil.
func (n *News) Table() *route.Table { return n.table.Load() }

// Known reports whether both the configuration and the endpoint list are known.
func (n *News) Known() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.list != nil && n.table.Load() != nil
}

// Versions returns the version of the configuration and the revision of the endpoint list; 0 means unknown.
func (n *News) Versions() (rules, endpoints core.Version) {
	if t := n.table.Load(); t != nil {
		rules = t.Version
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return rules, n.revision
}

// TakeRules puts a configuration in force unless the one in force is as new.
func (n *News) TakeRules(raw []byte, source string) {
	rules, err := n.dec.Rules(raw)
	var packed []byte
	if err == nil {
		packed, err = pack(raw)
	}
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
	n.packed = packed
	n.mu.Unlock()
	n.log.Emit(event.RulesTaken, event.Fields{
		"version": rules.Version, "source": source, "routes": len(rules.Routes), "teams": len(rules.Teams),
	})
	n.tell(source)
}

func (n *News) tell(source string) {
	if source == sourceStore {
		n.changed()
	}
}

// TakeEndpoints takes the whole endpoint list at a revision.
func (n *News) TakeEndpoints(revision core.Version, raw map[string][]byte, source string) {
	n.mu.Lock()
	if n.list != nil && revision <= n.revision {
		n.mu.Unlock()
		return
	}
	endpoints := make([]core.Endpoint, 0, len(raw))
	for name, b := range raw {
		if e, ok := n.decode(name, b); ok {
			endpoints = append(endpoints, e)
		}
	}
	if n.list == nil {
		n.list = newList(revision)
	}
	n.list.replace(revision, raw)
	n.revision = revision
	n.fleet.Replace(time.Now(), revision, endpoints)
	n.mu.Unlock()
	n.log.Emit(event.EndpointTaken, event.Fields{"revision": revision, "endpoints": len(endpoints), "source": source})
	n.tell(source)
}

// ChangeEndpoint takes the change of one entry in the store; raw is nil when it was removed.
func (n *News) ChangeEndpoint(revision core.Version, name string, raw []byte) {
	n.mu.Lock()
	n.change(revision, name, raw)
	n.mu.Unlock()
	n.tell(sourceStore)
}

func (n *News) change(revision core.Version, name string, raw []byte) {
	if n.list == nil {
		n.list = newList(revision)
	}
	now := time.Now()
	n.list.set(revision, name, raw)
	n.revision = max(n.revision, revision)
	if raw != nil {
		if e, ok := n.decode(name, raw); ok {
			n.fleet.Set(now, revision, e)
			n.log.Emit(event.EndpointTaken, event.Fields{"revision": revision, "endpoint": e.ID, "draining": e.Draining})
			return
		}
	}
	n.fleet.Remove(now, revision, core.EndpointID(name))
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
	var rules core.Version
	if t := n.table.Load(); t != nil {
		rules = t.Version
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	endpoints := n.revision
	out := &wire.News{}
	if uint64(rules) > known.GetRules() {
		out.Rules = n.packed
	}
	if n.list != nil && uint64(endpoints) > known.GetEndpoints() {
		out.HasEndpoints, out.EndpointsRevision = true, uint64(endpoints)
		n.list.fill(out, core.Version(known.GetEndpoints()))
	}
	return out, nil
}

// Take takes what another instance gave after it was told what this one knew.
func (n *News) Take(from core.InstanceID, known *wire.Known, in *wire.News) {
	source := "peer " + string(from)
	if len(in.GetRules()) > 0 {
		raw, err := unpack(in.GetRules())
		if err != nil {
			n.log.Emit(event.RulesPassed, event.Fields{"source": source, "error": err})
		} else {
			n.TakeRules(raw, source)
		}
	}
	switch {
	case !in.GetHasEndpoints():
	case in.GetDelta():
		n.takeDelta(core.Version(known.GetEndpoints()), in)
	default:
		raw := make(map[string][]byte, len(in.GetEndpoints()))
		for _, r := range in.GetEndpoints() {
			raw[r.GetName()] = r.GetValue()
		}
		n.TakeEndpoints(core.Version(in.GetEndpointsRevision()), raw, source)
	}
}

// takeDelta takes the changes after a revision, unless this instance has moved on from it meanwhile.
func (n *News) takeDelta(since core.Version, in *wire.News) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.revision != since {
		return
	}
	revision := core.Version(in.GetEndpointsRevision())
	for _, r := range in.GetEndpoints() {
		n.change(revision, r.GetName(), r.GetValue())
	}
	for _, name := range in.GetRemoved() {
		n.change(revision, name, nil)
	}
	n.revision = max(n.revision, revision)
}
