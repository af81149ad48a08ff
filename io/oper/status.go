package oper

import (
	"context"
	"maps"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"snipeshed/wire"
)

const (
	// maxStatusCalls bounds the concurrent calls of one status request. With the target size of 350 instances and none
	// answering, the request takes six times statusTimeout.
	maxStatusCalls = 64
	statusTimeout  = time.Second
)

// Values of InstanceStatus.State.
const (
	stateLive    = "live"
	stateLeaving = "leaving"
	// StateBlocked is the state of an instance whose version is too old to apply an accepted ticket.
	StateBlocked = "needs a newer version"
)

// Fleet lists the other instances and asks them for their digests.
type Fleet interface {
	// Instances returns the known instances, possibly including this one.
	Instances() []*wire.Instance
	// Digest asks one instance for its digest.
	Digest(ctx context.Context, in *wire.Instance) (*wire.Digest, error)
}

type noFleet struct{}

func (noFleet) Instances() []*wire.Instance { return nil }

func (noFleet) Digest(context.Context, *wire.Instance) (*wire.Digest, error) {
	return &wire.Digest{}, nil
}

// Status returns the ticket in force at every known instance, and the state of queues and endpoints.
func (o *Server) Status(ctx context.Context, _ *wire.StatusRequest) (*wire.StatusResponse, error) {
	cfg := o.state.Config()
	resp := &wire.StatusResponse{
		Instance: o.cfg.GetInstance(), Ticket: uint64(cfg.Number), StoreUp: o.store.Reachable(),
		Instances: o.instanceStatuses(ctx),
	}
	for _, id := range slices.Sorted(maps.Keys(cfg.Endpoints)) {
		resp.Endpoints = append(resp.Endpoints, &wire.EndpointStatus{Name: string(id)})
	}
	o.addPoolStatus(resp)
	return resp, nil
}

// instanceStatuses returns the status of this instance, then those of the others by failure domain and id.
func (o *Server) instanceStatuses(ctx context.Context) []*wire.InstanceStatus {
	all := []*wire.InstanceStatus{{
		Id: o.cfg.GetInstance(), FailureDomain: o.cfg.GetFailureDomain(), State: stateLive,
		Ticket: uint64(o.state.Number()), Reachable: true, Format: o.state.Format(),
	}}
	knownLeaving := map[*wire.InstanceStatus]bool{}
	group := &errgroup.Group{}
	group.SetLimit(maxStatusCalls)
	for _, in := range o.fleet.Instances() {
		if in.GetId() == o.cfg.GetInstance() {
			all[0].State = in.GetState()
			continue
		}
		s := &wire.InstanceStatus{Id: in.GetId(), FailureDomain: in.GetFailureDomain(), State: in.GetState()}
		knownLeaving[s] = in.GetState() == stateLeaving
		all = append(all, s)
		group.Go(func() error {
			o.Protect("asking an instance for its status", func() { o.fillFromDigest(ctx, in, s) })
			return nil
		})
	}
	_ = group.Wait() // an instance that does not answer is shown as unreachable
	// Instances that were known to be leaving are left out unless they are blocked and need the operator.
	all = slices.DeleteFunc(all, func(s *wire.InstanceStatus) bool { return knownLeaving[s] && s.GetState() != StateBlocked })
	slices.SortFunc(all[1:], func(a, b *wire.InstanceStatus) int {
		return slices.Compare([]string{a.GetFailureDomain(), a.GetId()}, []string{b.GetFailureDomain(), b.GetId()})
	})
	return all
}

// fillFromDigest asks an instance for its digest and copies it to s.
func (o *Server) fillFromDigest(ctx context.Context, in *wire.Instance, s *wire.InstanceStatus) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	d, err := o.fleet.Digest(ctx, in)
	if err != nil {
		return
	}
	s.Reachable, s.Ticket = true, d.GetTicket()
	s.Format, s.Held = d.GetFormat(), d.GetHeld()
	switch {
	case d.GetHeld() > 0:
		s.State = StateBlocked
	case d.GetLeaving():
		s.State = stateLeaving
	}
}
