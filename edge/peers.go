package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"snipeshed/core"
	"snipeshed/io/event"
	"snipeshed/io/head"
	"snipeshed/io/news"
	"snipeshed/io/pulse"
	"snipeshed/wire"
)

// pulseState returns the state that is sent to the other instances.
func (e *Edge) pulseState(now time.Time) pulse.State {
	config, endpoints := e.news.Versions()
	own := e.watch.Access()
	return pulse.State{
		Evacuations:   e.evacuated.State(now),
		ConfigVersion: config, EndpointsRevision: endpoints, StoreDown: own.Down, StoreUp: own.Up, Reading: own.Reading, Stopping: e.stopping.Load(),
		Leaving: e.endpoints.RecentlyLeaving(now, leavingSpan), Refusing: e.gate.RecentlyRefusing(now),
		Blame: e.blame.Report(now),
	}
}

// leavingSpan is how long the state that is sent to other instances lists an endpoint after it began to leave.
const leavingSpan = 3 * time.Second

// onNews announces newer data to other instances. In a small fleet the instance that has read it from the store tells all others;
// in a large one each instance that has it tells a few.
func (e *Edge) onNews(source string) {
	if source == news.SourceStore || e.pulse.Instances() >= core.LargeFleetInstances {
		e.pulse.Announce()
	}
}

// catchUp fetches newer data from another instance that has it, if any; only one fetch runs at a time.
func (e *Edge) catchUp() {
	if e.fetching.Load() {
		return // the fetch that runs looks for newer data at its end
	}
	newer := e.pulse.NewerPeers(e.news.Versions())
	if len(newer) == 0 || !e.mayTakeFromPeers() || !e.fetching.CompareAndSwap(false, true) {
		return
	}
	e.group.Go(func() {
		defer e.fetching.Store(false)
		defer e.log.Recover("fetching from another instance")
		for range maxFetches {
			if len(newer) == 0 || !e.waitFetchSpread() || !e.fetchFrom(newer[rand.IntN(len(newer))]) {
				return
			}
			newer = e.pulse.NewerPeers(e.news.Versions())
		}
	})
}

// maxFetches bounds the fetches in a row, as others may know newer data all the time.
const maxFetches = 8

// fetchFrom fetches from another instance what it has that is newer, and reports whether this instance has newer data now. If not,
// another fetch would bring no more: the other one may have data that can't be read here.
func (e *Edge) fetchFrom(from core.Peer) bool {
	ctx, cancel := context.WithTimeout(e.ctx, fetchTimeout)
	defer cancel()
	config, endpoints := e.news.Versions()
	known := &wire.Known{Rules: uint64(config), Endpoints: uint64(endpoints.Number), EndpointsEra: uint64(endpoints.Era), Members: uint32(e.pulse.KnownPeers())}
	got, err := wire.NewSyncProtobufClient("http://"+from.Address, peerClient).Fetch(ctx, known)
	var refusal twirp.Error
	if errors.As(err, &refusal) && refusal.Code() == twirp.ResourceExhausted {
		return false // the next datagram, of this or of another instance, leads to another fetch
	}
	if err != nil {
		e.log.Emit(event.PeerLost, event.Fields{"peer": from.ID, "while": "fetching", "error": err})
		e.watch.Refresh()
		return false
	}
	for _, m := range got.GetMembers() {
		e.pulse.Add(core.Peer{ID: core.InstanceID(m.GetId()), Address: m.GetAddress(), FailureDomain: core.FailureDomain(m.GetDomain())})
	}
	e.news.ApplyFetched(from.ID, known, got)
	newConfig, newEndpoints := e.news.Versions()
	return newConfig > config || newEndpoints.After(endpoints)
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

// waitFetchSpread waits a random time, so that instances do not all fetch from the same ones at once. The time grows with the
// number of instances, up to the size from which on an announcement reaches only a few. It returns false if the instance was
// closed meanwhile.
func (e *Edge) waitFetchSpread() bool {
	n := e.pulse.Instances()
	if e.news.Loaded() {
		n = min(n, core.LargeFleetInstances)
	}
	select {
	case <-e.ctx.Done():
		return false
	case <-time.After(rand.N(time.Duration(n)*fetchSpreadPerInstance + 1)):
		return true
	}
}

var peerClient = &http.Client{Transport: head.NewTransport(&http.Transport{
	IdleConnTimeout: 2 * time.Second, MaxIdleConnsPerHost: 1, ReadBufferSize: 4 << 10, WriteBufferSize: 1 << 10,
})}

// syncServer serves the Sync service to other instances.
type syncServer struct{ e *Edge }

// maxFullFetches bounds the whole endpoint lists that an instance sends at the same time. When a large fleet starts, hundreds of
// instances ask the first that have one; served all at once, none of them would get it before its timeout.
const maxFullFetches = 3

// Fetch returns what is newer than known, and the live instances. It refuses to send a further whole list while it sends
// maxFullFetches.
func (s syncServer) Fetch(ctx context.Context, known *wire.Known) (*wire.News, error) {
	if s.e.sendsWholeList(known) {
		if s.e.fullFetches.Add(1) > maxFullFetches {
			s.e.fullFetches.Add(-1)
			return nil, twirp.NewError(twirp.ResourceExhausted, "this instance sends as many whole endpoint lists as it may; retry")
		}
		context.AfterFunc(ctx, func() { s.e.fullFetches.Add(-1) }) // when the answer is written
	}
	out, err := s.e.news.ServeFetch(ctx, known)
	if err != nil {
		return nil, err
	}
	members := s.e.pulse.Members()
	if int(known.GetMembers())+1 >= len(members) {
		return out, nil
	}
	for _, m := range members {
		out.Members = append(out.Members, &wire.Member{Id: string(m.ID), Address: m.Address, Domain: string(m.FailureDomain)})
	}
	return out, nil
}

// sendsWholeList reports whether the answer to a fetch holds the whole endpoint list because the caller has none, or one of an earlier era
// of the store.
func (e *Edge) sendsWholeList(known *wire.Known) bool {
	era := core.Era(known.GetEndpointsEra())
	return known.GetEndpoints() == 0 || (era != 0 && era != e.knownEra())
}

// knownEra returns the era of the store to which the endpoint list of this instance belongs.
func (e *Edge) knownEra() core.Era {
	_, endpoints := e.news.Versions()
	return endpoints.Era
}

// AddPeer adds another instance before it is found by a datagram or in the store.
func (e *Edge) AddPeer(id, address string) {
	e.pulse.Add(core.Peer{ID: core.InstanceID(id), Address: address})
}
