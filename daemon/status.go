package daemon

import (
	"context"
	"net/http"

	"snipeshed/core"
	"snipeshed/core/member"
	"snipeshed/io/host"
	"snipeshed/io/link"
	"snipeshed/io/meter"
	"snipeshed/io/oper"
	"snipeshed/wire"
)

// fleetClient lists the known instances and asks them for their digests. It implements oper.Fleet.
type fleetClient struct {
	daemon *Daemon
	client *http.Client
}

func newFleetClient(d *Daemon) *fleetClient {
	return &fleetClient{daemon: d, client: link.New(d.cfg).PeerClient()}
}

// Instances returns the known instances, including this one.
func (f *fleetClient) Instances() []*wire.Instance {
	self := f.daemon.members.Self()
	out := []*wire.Instance{{
		Id: string(self.ID), Address: self.Address, FailureDomain: string(self.FailureDomain),
		Kind: member.KindInstance, State: f.daemon.selfState(),
	}}
	for _, p := range f.daemon.members.LivePeers() {
		out = append(out, &wire.Instance{
			Id: string(p.ID), Address: p.Address, FailureDomain: string(p.FailureDomain),
			Kind: member.KindInstance, State: member.StateLive,
		})
	}
	// Leaving instances are included because one that cannot apply a ticket is reported as leaving.
	for _, p := range f.daemon.members.Peers(f.daemon.Clock.Now()) {
		if f.daemon.members.IsLeaving(p.ID) {
			out = append(out, &wire.Instance{
				Id: string(p.ID), Address: p.Address, FailureDomain: string(p.FailureDomain),
				Kind: member.KindInstance, State: member.StateLeaving,
			})
		}
	}
	return out
}

// selfState returns the state of this instance for the status.
func (d *Daemon) selfState() string {
	select {
	case <-d.gossiper.Blocked():
		return oper.StateBlocked
	default:
	}
	if d.leaving.Load() {
		return member.StateLeaving
	}
	return member.StateLive
}

// Digest asks one instance for its digest.
func (f *fleetClient) Digest(ctx context.Context, in *wire.Instance) (*wire.Digest, error) {
	c := wire.NewPeerProtobufClient("http://"+in.GetAddress(), f.client)
	return c.Push(ctx, &wire.Delta{Digest: &wire.Digest{}}) // an empty push changes nothing and returns the digest
}

// TicketNumber returns the number of the ticket in force at this instance.
func (d *Daemon) TicketNumber() core.TicketNumber { return d.state.Number() }

// AcceptingEndpoints returns the endpoints that accept calls in the pools that are open at this instance.
func (d *Daemon) AcceptingEndpoints() []core.EndpointID {
	var out []core.EndpointID
	for _, p := range d.host.Pools() {
		for id, info := range p.Reports() {
			if info.Accepting {
				out = append(out, id)
			}
		}
	}
	return out
}

// Meter returns the instance's counters and histograms.
func (d *Daemon) Meter() *meter.Meter { return d.meter }

// PoolOwner returns the instance that owns a pool in the view of this instance, or "" if there is none.
func (d *Daemon) PoolOwner(pool core.PoolID) core.InstanceID {
	if o := d.members.Owners(d.Clock.Now(), host.OwnerKey(pool), 1); len(o) > 0 {
		return o[0].ID
	}
	return ""
}

// LivePeerCount returns the number of other instances that this one considers live.
func (d *Daemon) LivePeerCount() int { return len(d.members.LivePeers()) }

// WaitingCalls returns the number of queued calls of each pool that is open at this instance.
func (d *Daemon) WaitingCalls() map[core.PoolID]int {
	out := map[core.PoolID]int{}
	for id, p := range d.host.Pools() {
		for _, r := range p.Load().Ranks {
			out[id] += r.Waiting
		}
	}
	return out
}
