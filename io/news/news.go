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

// News holds the configuration and the endpoint list that an instance got from the store or from other instances; it is
// safe for concurrent use.
type News struct {
	dec   core.Decoder
	fleet *fleet.Endpoints
	log   *event.Log
	table atomic.Pointer[route.Table]

	loaded     chan struct{} // closed once both are known
	mu         sync.Mutex
	compressed []byte        // the configuration in force, compressed
	list       *endpointList // nil until the endpoint list is known
	revision   core.Revision
	unreadable unreadableEntries
	onChange   func(source string)
}

// New returns an empty News; onChange is called with the source after a newer configuration or endpoint list was applied.
func New(dec core.Decoder, f *fleet.Endpoints, log *event.Log, onChange func(source string)) *News {
	return &News{
		dec: dec, fleet: f, log: log, loaded: make(chan struct{}), unreadable: unreadableEntries{}, onChange: onChange,
	}
}

// SourceStore is the source of data that was read from the store.
const SourceStore = "store"

// Table returns the configuration in force, or nil.
func (n *News) Table() *route.Table { return n.table.Load() }

// Loaded reports whether both the configuration and the endpoint list are known.
func (n *News) Loaded() bool {
	select {
	case <-n.loaded:
		return true
	default:
		return false
	}
}

// AwaitLoaded returns a channel that is closed once both the configuration and the endpoint list are known.
func (n *News) AwaitLoaded() <-chan struct{} { return n.loaded }

// signalLoaded closes the channel of AwaitLoaded if both are known now; n.mu is held.
func (n *News) signalLoaded() {
	if n.list != nil && n.table.Load() != nil && !n.Loaded() {
		close(n.loaded)
	}
}

// Versions returns the version of the configuration and the revision of the endpoint list; zero means unknown.
func (n *News) Versions() (config core.Version, endpoints core.Revision) {
	if t := n.table.Load(); t != nil {
		config = t.Version
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return config, n.revision
}

// UpdateConfig puts a configuration in force unless its version is not newer than that of the one in force.
func (n *News) UpdateConfig(raw []byte, source string) {
	config, err := n.dec.DecodeConfig(raw)
	var compressed []byte
	if err == nil {
		compressed, err = compress(raw)
	}
	if err != nil {
		n.log.Emit(event.RulesPassedOver, event.Fields{"source": source, "error": err})
		return
	}
	if !n.storeConfig(config, compressed) {
		return
	}
	n.log.Emit(event.RulesTaken, event.Fields{
		"version": config.Version, "source": source, "routes": len(config.Routes), "teams": len(config.Teams),
	})
	n.onChange(source)
}

// storeConfig puts a configuration in force and reports whether it is newer than the one before.
func (n *News) storeConfig(config *core.RoutingConfig, compressed []byte) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if old := n.table.Load(); old != nil && config.Version <= old.Version {
		return false
	}
	n.table.Store(route.New(config))
	n.compressed = compressed
	n.signalLoaded()
	return true
}

// ReplaceEndpoints replaces the whole endpoint list unless the revision is not newer than the known one.
func (n *News) ReplaceEndpoints(revision core.Revision, raw map[string][]byte, source string) {
	count, ok := n.replaceEndpoints(revision, raw)
	if !ok {
		return
	}
	n.log.Emit(event.EndpointTaken, event.Fields{"revision": revision, "endpoints": count, "source": source})
	n.onChange(source)
}

// replaceEndpoints replaces the list and returns the number of endpoints, or false if the revision is not newer.
func (n *News) replaceEndpoints(revision core.Revision, raw map[string][]byte) (int, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.list != nil && !revision.After(n.revision) {
		return 0, false
	}
	n.unreadable.retain(raw)
	endpoints := make([]core.Endpoint, 0, len(raw))
	sound := make(map[string][]byte, len(raw))
	for name, b := range raw {
		if e, ok := n.decodeEndpoint(name, b); ok {
			endpoints = append(endpoints, e)
			sound[name] = b
		}
	}
	if n.revision.Era != 0 && revision.Era != n.revision.Era {
		n.log.Emit(event.StoreRestored, event.Fields{"revision": revision, "known": n.revision, "endpoints": len(sound)})
	}
	if n.list == nil || revision.Era != n.revision.Era {
		n.list = newEndpointList(revision)
	}
	n.list.replace(revision, sound)
	n.revision = revision
	n.fleet.ReplaceAll(time.Now(), revision, endpoints)
	n.signalLoaded()
	return len(endpoints), true
}

// ChangeEndpoint applies a change of one entry in the store, unless a list of a later era is known; raw is nil when the entry was
// removed.
func (n *News) ChangeEndpoint(revision core.Revision, name string, raw []byte) {
	if n.applyStoreChange(revision, name, raw) {
		n.onChange(SourceStore)
	}
}

func (n *News) applyStoreChange(revision core.Revision, name string, raw []byte) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.list != nil && revision.Era != n.revision.Era {
		return false // read before the store came back; the list of its new era has what is left of it
	}
	n.applyChange(revision, name, raw)
	return true
}

// applyChange applies a change of one entry. An entry that names no endpoint counts as removed, so that it is not sent to
// other instances, whatever its size.
func (n *News) applyChange(revision core.Revision, name string, raw []byte) {
	if n.list == nil {
		n.list = newEndpointList(revision)
		n.signalLoaded()
	}
	now := time.Now()
	n.revision = core.LaterRevision(n.revision, revision)
	if raw == nil {
		delete(n.unreadable, name)
	} else if e, ok := n.decodeEndpoint(name, raw); ok {
		n.list.set(revision, name, raw)
		n.fleet.Set(now, revision, e)
		n.log.Emit(event.EndpointTaken, event.Fields{"revision": revision, "endpoint": e.ID, "draining": e.Draining})
		return
	}
	n.list.set(revision, name, nil)
	n.fleet.Remove(now, revision, core.EndpointID(name))
}

// decodeEndpoint decodes an entry; one that names no endpoint is logged when it was not so at the last time.
func (n *News) decodeEndpoint(name string, raw []byte) (core.Endpoint, bool) {
	e, err := n.dec.DecodeEndpoint(core.EndpointID(name), raw)
	if err == nil {
		delete(n.unreadable, name)
		return e, true
	}
	if n.unreadable.add(name, raw) {
		n.log.Emit(event.EndpointUnreadable, event.Fields{"endpoint": name, "error": err})
	}
	return core.Endpoint{}, false
}

// ServeFetch answers another instance with the data that is newer than what it knows.
func (n *News) ServeFetch(_ context.Context, known *wire.Known) (*wire.News, error) {
	var config core.Version
	if t := n.table.Load(); t != nil {
		config = t.Version
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	endpoints := n.revision
	out := &wire.News{}
	if uint64(config) > known.GetRules() {
		out.Rules = n.compressed
	}
	if since := knownEndpoints(known).OrEra(endpoints.Era); n.list != nil && endpoints.After(since) {
		out.HasEndpoints, out.EndpointsRevision, out.EndpointsEra = true, uint64(endpoints.Number), uint64(endpoints.Era)
		n.list.fillSince(out, since)
	}
	return out, nil
}

// ApplyFetched applies the answer of another instance to a fetch that was sent with known.
func (n *News) ApplyFetched(from core.InstanceID, known *wire.Known, in *wire.News) {
	source := "peer " + string(from)
	if len(in.GetRules()) > 0 {
		raw, err := decompress(in.GetRules())
		if err != nil {
			n.log.Emit(event.RulesPassedOver, event.Fields{"source": source, "error": err})
		} else {
			n.UpdateConfig(raw, source)
		}
	}
	since := knownEndpoints(known)
	revision := core.Revision{Era: core.Era(in.GetEndpointsEra()), Number: core.Version(in.GetEndpointsRevision())}.OrEra(since.Era)
	switch {
	case !in.GetHasEndpoints():
	case in.GetDelta():
		if n.applyDelta(since, revision, in) {
			n.onChange(source)
		}
	default:
		raw := make(map[string][]byte, len(in.GetEndpoints()))
		for _, r := range in.GetEndpoints() {
			raw[r.GetName()] = r.GetValue()
		}
		n.ReplaceEndpoints(revision, raw, source)
	}
}

// knownEndpoints returns the revision of the endpoint list that an instance says it has.
func knownEndpoints(known *wire.Known) core.Revision {
	return core.Revision{Era: core.Era(known.GetEndpointsEra()), Number: core.Version(known.GetEndpoints())}
}

// applyDelta applies the changes after a revision, unless the list has a different revision by now, and reports whether it did.
func (n *News) applyDelta(since, revision core.Revision, in *wire.News) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.revision != since || (since.Era != 0 && revision.Era != since.Era) {
		return false
	}
	for _, r := range in.GetEndpoints() {
		n.applyChange(revision, r.GetName(), r.GetValue())
	}
	for _, name := range in.GetRemoved() {
		n.applyChange(revision, name, nil)
	}
	n.revision = core.LaterRevision(n.revision, revision)
	return true
}
