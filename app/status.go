package app

import (
	"context"
	"net/http"
	"sort"

	"snipeshed/core"
	"snipeshed/core/member"
	"snipeshed/core/order"
	"snipeshed/io/host"
	"snipeshed/io/link"
	"snipeshed/io/meter"
	"snipeshed/wire"
)

// fleet asks other instances for their digests.
type fleet struct {
	app    *App
	client *http.Client
}

func newFleet(a *App) *fleet { return &fleet{app: a, client: link.New(a.cfg).PeerClient()} }

// Instances returns the known instances of snipeshed.
func (f *fleet) Instances() []*wire.Instance {
	self := f.app.members.Self()
	out := []*wire.Instance{{
		Id: string(self.ID), Address: self.Address, FailureDomain: string(self.FailureDomain),
		Kind: member.KindInstance, State: f.app.selfState(),
	}}
	for _, p := range f.app.members.Others() {
		out = append(out, &wire.Instance{
			Id: string(p.ID), Address: p.Address, FailureDomain: string(p.FailureDomain),
			Kind: member.KindInstance, State: member.StateLive,
		})
	}
	return out
}

func (a *App) selfState() string {
	if a.leaving.Load() {
		return member.StateLeaving
	}
	return member.StateLive
}

// Digest asks one instance for its digest.
func (f *fleet) Digest(ctx context.Context, in *wire.Instance) (*wire.Digest, error) {
	c := wire.NewPeerProtobufClient("http://"+in.GetAddress(), f.client)
	return c.Push(ctx, &wire.Delta{Digest: &wire.Digest{}}) // an empty push only asks for the digest
}

// addLoad adds what this instance knows of queues and endpoints.
func (a *App) addLoad(s *wire.StatusResponse) {
	now := a.Clock.Now()
	open := a.host.Pools()
	sh := a.host.Shard()
	for _, id := range sh.All() {
		owner := ""
		if o := a.members.Owners(now, host.Resource(id), 1); len(o) > 0 {
			owner = string(o[0].ID)
		}
		if p := open[id]; p != nil {
			addRanks(s, id, p.Load())
		}
		for _, ep := range sh.Endpoints(id) {
			s.Endpoints = append(s.Endpoints, a.endpointStatus(id, ep, owner))
		}
	}
}

func addRanks(s *wire.StatusResponse, id core.PoolID, load core.PoolLoad) {
	sort.Slice(load.Ranks, func(i, j int) bool { return load.Ranks[i].Rank < load.Ranks[j].Rank })
	for _, r := range load.Ranks {
		s.Queues = append(s.Queues, &wire.QueueStatus{
			Pool: string(id), Rank: string(r.Rank), Waiting: int64(r.Waiting), ExpectedWaitMs: r.ExpectedWait.Milliseconds(),
		})
	}
}

func (a *App) endpointStatus(pool core.PoolID, ep core.EndpointID, owner string) *wire.EndpointStatus {
	out := &wire.EndpointStatus{Name: string(ep), Pool: string(pool), Owner: owner, State: "unknown here"}
	p := a.host.Pools()[pool]
	if p == nil {
		return out
	}
	info, ok := p.Reports()[ep]
	if !ok {
		return out
	}
	out.State = "not accepting"
	if info.Accepting {
		out.State = "accepting"
	}
	if s := p.Orders()[ep]; s != order.StateDone {
		out.State += ", " + string(s)
	}
	out.Running, out.KvUsed, out.KvCapacity = int64(info.Load.Running), int64(info.Load.KVUsed), int64(info.Load.KVCapacity)
	return out
}

// Ticket returns the number of the ticket in force here.
func (a *App) Ticket() core.TicketNumber { return a.state.Number() }

// Accepting returns the endpoints that accept work in the pools that are open here.
func (a *App) Accepting() []core.EndpointID {
	var out []core.EndpointID
	for _, p := range a.host.Pools() {
		for id, info := range p.Reports() {
			if info.Accepting {
				out = append(out, id)
			}
		}
	}
	return out
}

// Meter returns the instance's counters and histograms.
func (a *App) Meter() *meter.Meter { return a.meter }

// Owner returns the instance that owns a pool, as far as is known here.
func (a *App) Owner(pool core.PoolID) core.InstanceID {
	if o := a.members.Owners(a.Clock.Now(), host.Resource(pool), 1); len(o) > 0 {
		return o[0].ID
	}
	return ""
}
