package edge

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"snipeshed/core"
	"snipeshed/io/event"
	"snipeshed/io/pulse"
	"snipeshed/wire"
)

// pulseState returns the state that is sent to the other instances.
func (e *Edge) pulseState(now time.Time) pulse.State {
	config, endpoints := e.news.Versions()
	return pulse.State{
		ConfigVersion: config, EndpointsRevision: endpoints, StoreDown: e.watch.Down(), StoreUp: e.watch.Up(), Stopping: e.stopping.Load(),
		Leaving: e.endpoints.RecentlyLeaving(now, leavingSpan), Refusing: e.gate.RecentlyRefusing(now),
		Blame: e.blame.Report(now),
	}
}

// leavingSpan is how long the state that is sent to other instances lists an endpoint after it began to leave.
const leavingSpan = 3 * time.Second

// catchUp fetches newer data from another instance that has it, if any; only one fetch runs at a time.
func (e *Edge) catchUp() {
	config, endpoints := e.news.Versions()
	newer := e.pulse.NewerPeers(config, endpoints)
	if len(newer) == 0 || !e.mayTakeFromPeers() || !e.fetching.CompareAndSwap(false, true) {
		return
	}
	from := newer[rand.IntN(len(newer))]
	e.group.Go(func() {
		defer e.fetching.Store(false)
		defer e.log.Recover("fetching from another instance")
		if !e.waitFetchSpread() {
			return
		}
		ctx, cancel := context.WithTimeout(e.ctx, fetchTimeout)
		defer cancel()
		c := wire.NewSyncProtobufClient("http://"+from.Address, peerClient)
		known := &wire.Known{Rules: uint64(config), Endpoints: uint64(endpoints)}
		got, err := c.Fetch(ctx, known)
		if err != nil {
			e.log.Emit(event.PeerLost, event.Fields{"peer": from.ID, "while": "fetching", "error": err})
			e.watch.Refresh()
			return
		}
		for _, m := range got.GetMembers() {
			e.pulse.Add(core.Peer{ID: core.InstanceID(m.GetId()), Address: m.GetAddress(), FailureDomain: core.FailureDomain(m.GetDomain())})
		}
		e.news.ApplyFetched(from.ID, known, got)
	})
}

// ownReadTime is how long a starting instance prefers its own first read of the store to what instances know that don't reach
// the store.
const ownReadTime = 700 * time.Millisecond

// mayTakeFromPeers reports whether the instance takes its first configuration and endpoint list from others. Others that are cut
// off from the store may know old ones, with keys that were withdrawn and endpoints that have left, so unless one of them reaches
// the store, a starting instance first tries to read the store itself. In an outage, which several report, it does not.
func (e *Edge) mayTakeFromPeers() bool {
	return e.news.Loaded() || e.pulse.StoreSeen() || e.pulse.OutageReported() || e.watch.Down() || time.Since(e.started) > ownReadTime
}

// waitFetchSpread waits a random time that grows with the number of instances, so that they do not all fetch from the same
// ones at once. It returns false if the instance was closed meanwhile.
func (e *Edge) waitFetchSpread() bool {
	select {
	case <-e.ctx.Done():
		return false
	case <-time.After(rand.N(time.Duration(e.pulse.Instances())*fetchSpreadPerInstance + 1)):
		return true
	}
}

var peerClient = &http.Client{Transport: &http.Transport{
	IdleConnTimeout: 2 * time.Second, MaxIdleConnsPerHost: 1, ReadBufferSize: 4 << 10, WriteBufferSize: 1 << 10,
}}

// syncServer serves the Sync service to other instances.
type syncServer struct{ e *Edge }

// Fetch returns what is newer than known, and the live instances.
func (s syncServer) Fetch(ctx context.Context, known *wire.Known) (*wire.News, error) {
	out, err := s.e.news.ServeFetch(ctx, known)
	if err != nil {
		return nil, err
	}
	for _, m := range s.e.pulse.Members() {
		out.Members = append(out.Members, &wire.Member{Id: string(m.ID), Address: m.Address, Domain: string(m.FailureDomain)})
	}
	return out, nil
}

// AddPeer adds another instance before it is found by a datagram or in the store.
func (e *Edge) AddPeer(id, address string) {
	e.pulse.Add(core.Peer{ID: core.InstanceID(id), Address: address})
}
