package daemon

import (
	"context"
	"net/http"

	"snipeshed/core"
	"snipeshed/core/member"
	"snipeshed/io/host"
	"snipeshed/io/link"
	"snipeshed/io/meter"
	"snipeshed/wire"
)

// fleet asks other instances for their digests.
type fleet struct {
	app    *Daemon
	client *http.Client
}

func newFleet(a *Daemon) *fleet { return &fleet{app: a, client: link.New(a.cfg).PeerClient()} }

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

func (a *Daemon) selfState() string {
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

// Ticket returns the number of the ticket in force here.
func (a *Daemon) Ticket() core.TicketNumber { return a.state.Number() }

// Accepting returns the endpoints that accept work in the pools that are open here.
func (a *Daemon) Accepting() []core.EndpointID {
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
func (a *Daemon) Meter() *meter.Meter { return a.meter }

// Owner returns the instance that owns a pool, as far as is known here.
func (a *Daemon) Owner(pool core.PoolID) core.InstanceID {
	if o := a.members.Owners(a.Clock.Now(), host.Resource(pool), 1); len(o) > 0 {
		return o[0].ID
	}
	return ""
}

// Others returns how many other instances are known here as live.
func (a *Daemon) Others() int { return len(a.members.Others()) }

// Waiting returns the queued calls of each pool that is open here.
func (a *Daemon) Waiting() map[core.PoolID]int {
	out := map[core.PoolID]int{}
	for id, p := range a.host.Pools() {
		for _, r := range p.Load().Ranks {
			out[id] += r.Waiting
		}
	}
	return out
}
