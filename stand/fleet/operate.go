package fleet

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"snipeshed/core"
	"snipeshed/core/member"
	"snipeshed/io/oper"
	"snipeshed/stand/objs"
	"snipeshed/wire"
)

const (
	// operatorTimeout is longer than an instance takes to answer an operator's request while the store hangs.
	operatorTimeout = 15 * time.Second
	showTimeout     = 5 * time.Second
	// watchTimeout ends a WatchTicketRegressions call whose done function never returns true.
	watchTimeout = 10 * time.Minute
)

// TeamTicket returns a ticket that defines one team and its weight; the team's API key is "key-" followed by its name.
func TeamTicket(name, author string, base uint64, weight int64) *wire.Ticket {
	return &wire.Ticket{Id: core.NewRandomID(), Author: author, Base: base, Items: []*wire.Item{{
		Body: &wire.Item_Team{Team: &wire.Team{
			Name: name, Weight: weight, Keys: []*wire.Key{{Sha256: KeyDigest("key-" + name), Rank: "urgent"}},
		}},
	}}}
}

// RemovalTicket returns a ticket that removes one item, such as "endpoint/runner-0".
func RemovalTicket(item, author string, base uint64) *wire.Ticket {
	return &wire.Ticket{Id: core.NewRandomID(), Author: author, Base: base, Items: []*wire.Item{{
		Body: &wire.Item_Remove{Remove: &wire.Removal{Item: item}},
	}}}
}

// ApplyTyped applies a ticket at the instance and returns the ticket's number, or the error with its kind; an error
// without a kind becomes an internal one.
func (n *Node) ApplyTyped(t *wire.Ticket) (uint64, *core.Error) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	got, err := n.Apply(ctx, t)
	if err == nil {
		return got.GetNumber(), nil
	}
	var typed *core.Error
	if errors.As(oper.ErrorFrom(err), &typed) {
		return 0, typed
	}
	return 0, &core.Error{Kind: core.KindInternal, Message: err.Error(), Execution: core.ExecutionUnknown}
}

// ApplyEverywhere applies a ticket at one instance and waits until it is in force at all of them; the timeout bounds
// each of the two steps.
func (f *Fleet) ApplyEverywhere(n *Node, t *wire.Ticket, timeout time.Duration) (uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	got, err := n.Apply(ctx, t)
	if err != nil {
		return 0, err
	}
	return got.GetNumber(), f.WaitTicket(timeout, got.GetNumber())
}

// TeamWeights returns the weight of a team at each of the given instances (default all), leaving out those that don't
// know the team.
func (f *Fleet) TeamWeights(team string, nodes ...*Node) ([]int64, error) {
	var out []int64
	var errs []error
	if len(nodes) == 0 {
		nodes = f.NodesCopy()
	}
	for _, n := range nodes {
		ctx, cancel := context.WithTimeout(context.Background(), showTimeout)
		r, err := wire.NewOperatorProtobufClient("http://"+n.OperatorAddress(), http.DefaultClient).Show(ctx, &wire.ShowRequest{})
		cancel()
		if err != nil {
			errs = append(errs, fmt.Errorf("show at %s: %w", n.ID, err))
			continue
		}
		for _, item := range r.GetConfiguration().GetEntries() {
			if t := item.GetItem().GetTeam(); t.GetName() == team {
				out = append(out, t.GetWeight())
			}
		}
	}
	return out, errors.Join(errs...)
}

// SetRunnerState sets the state of model runner i in the platform's instance list.
func (f *Fleet) SetRunnerState(i int, state string) {
	f.Platform.SetInstance(objs.Instance{
		ID: fmt.Sprintf("runner-%d", i), Address: f.runnerAddress(i), FailureDomain: domain(i), Kind: member.KindEndpoint, State: state,
	})
}

// ReplaceNode adds an instance, waits until it is ready, pauses and stops the old one gracefully. The pause lets the
// load balancer and the other instances notice the new one.
func (f *Fleet) ReplaceNode(old *Node, readyTimeout, pause time.Duration) error {
	replacement, err := f.AddNode()
	if err != nil {
		return err
	}
	if err := Wait(readyTimeout, "replacement ready", replacement.Ready); err != nil {
		return err
	}
	time.Sleep(pause)
	if err := old.Stop(); err != nil {
		return err
	}
	address := old.PeerAddress()
	if old.PeerLink != nil {
		address = old.PeerLink.Addr()
	}
	f.Platform.SetInstance(objs.Instance{
		ID: string(old.ID), Address: address, FailureDomain: Domains[0], Kind: member.KindInstance, State: member.StateGone,
	})
	return nil
}
