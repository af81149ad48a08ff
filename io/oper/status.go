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
	// statusFanOut bounds the calls in flight; with the target size of 350 instances and none answering,
	// a status takes six times statusTimeout.
	statusFanOut  = 64
	statusTimeout = time.Second
)

// States of instances in the status.
const (
	stateLive    = "live"
	stateLeaving = "leaving"
	// StateBlocked is that of an instance that has a ticket which needs a newer version.
	StateBlocked = "needs a newer version"
)

// Fleet gives the other instances.
type Fleet interface {
	// Instances returns the known instances of snipeshed; this one may be among them.
	Instances() []*wire.Instance
	// Digest asks one instance for its digest.
	Digest(ctx context.Context, in *wire.Instance) (*wire.Digest, error)
}

type noFleet struct{}

func (noFleet) Instances() []*wire.Instance { return nil }

func (noFleet) Digest(context.Context, *wire.Instance) (*wire.Digest, error) {
	return &wire.Digest{}, nil
}

// Status returns the ticket in force at every known instance, with what this instance knows of queues and endpoints.
func (o *Oper) Status(ctx context.Context, _ *wire.StatusRequest) (*wire.StatusResponse, error) {
	cfg := o.state.Config()
	resp := &wire.StatusResponse{
		Instance: o.cfg.GetInstance(), Ticket: uint64(cfg.Number), StoreUp: o.store.Up(),
		Instances: o.instances(ctx),
	}
	for _, id := range slices.Sorted(maps.Keys(cfg.Endpoints)) {
		resp.Endpoints = append(resp.Endpoints, &wire.EndpointStatus{Name: string(id)})
	}
	o.load(resp)
	return resp, nil
}

// instances asks the other instances and puts this one first.
func (o *Oper) instances(ctx context.Context) []*wire.InstanceStatus {
	all := []*wire.InstanceStatus{{
		Id: o.cfg.GetInstance(), FailureDomain: o.cfg.GetFailureDomain(), State: stateLive,
		Ticket: uint64(o.state.Number()), Reachable: true, Format: o.state.Format(),
	}}
	leaves := map[*wire.InstanceStatus]bool{}
	group := &errgroup.Group{}
	group.SetLimit(statusFanOut)
	for _, in := range o.fleet.Instances() {
		if in.GetId() == o.cfg.GetInstance() {
			all[0].State = in.GetState()
			continue
		}
		s := &wire.InstanceStatus{Id: in.GetId(), FailureDomain: in.GetFailureDomain(), State: in.GetState()}
		leaves[s] = in.GetState() == stateLeaving
		all = append(all, s)
		group.Go(func() error {
			o.ask(ctx, in, s)
			return nil
		})
	}
	_ = group.Wait() // an instance that does not answer is shown as unreachable
	// Instances that were known to leave are not waited for, but blocked ones are shown: they need the operator.
	all = slices.DeleteFunc(all, func(s *wire.InstanceStatus) bool { return leaves[s] && s.GetState() != StateBlocked })
	slices.SortFunc(all[1:], func(a, b *wire.InstanceStatus) int {
		return slices.Compare([]string{a.GetFailureDomain(), a.GetId()}, []string{b.GetFailureDomain(), b.GetId()})
	})
	return all
}

func (o *Oper) ask(ctx context.Context, in *wire.Instance, s *wire.InstanceStatus) {
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
