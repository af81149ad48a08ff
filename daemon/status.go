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

// fleet asks other instances for their digests.
type fleet struct {
	daemon *Daemon
	client *http.Client
}

func newFleet(d *Daemon) *fleet { return &fleet{daemon: d, client: link.New(d.cfg).PeerClient()} }

// Instances returns the known instances of snipeshed.
func (f *fleet) Instances() []*wire.Instance {
	self := f.daemon.members.Self()
	out := []*wire.Instance{{
		Id: string(self.ID), Address: self.Address, FailureDomain: string(self.FailureDomain),
		Kind: member.KindInstance, State: f.daemon.selfState(),
	}}
	for _, p := range f.daemon.members.Others() {
		out = append(out, &wire.Instance{
			Id: string(p.ID), Address: p.Address, FailureDomain: string(p.FailureDomain),
			Kind: member.KindInstance, State: member.StateLive,
		})
	}
	// Instances that say that they leave are asked too, since one that cannot apply a ticket is among them.
	for _, p := range f.daemon.members.Peers(f.daemon.Clock.Now()) {
		if f.daemon.members.Leaving(p.ID) {
			out = append(out, &wire.Instance{
				Id: string(p.ID), Address: p.Address, FailureDomain: string(p.FailureDomain),
				Kind: member.KindInstance, State: member.StateLeaving,
			})
		}
	}
	return out
}

func (d *Daemon) selfState() string {
	select {
	case <-d.relay.Blocked():
		return oper.StateBlocked
	default:
	}
	if d.leaving.Load() {
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
func (d *Daemon) Ticket() core.TicketNumber { return d.state.Number() }

// Accepting returns the endpoints that accept work in the pools that are open here.
func (d *Daemon) Accepting() []core.EndpointID {
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

// Owner returns the instance that owns a pool, as far as is known here.
func (d *Daemon) Owner(pool core.PoolID) core.InstanceID {
	if o := d.members.Owners(d.Clock.Now(), host.Resource(pool), 1); len(o) > 0 {
		return o[0].ID
	}
	return ""
}

// Others returns how many other instances are known here as live.
func (d *Daemon) Others() int { return len(d.members.Others()) }

// Waiting returns the queued calls of each pool that is open here.
func (d *Daemon) Waiting() map[core.PoolID]int {
	out := map[core.PoolID]int{}
	for id, p := range d.host.Pools() {
		for _, r := range p.Load().Ranks {
			out[id] += r.Waiting
		}
	}
	return out
}
