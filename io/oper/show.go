package oper

import (
	"context"
	"errors"
	"fmt"

	"snipeshed/core"
	"snipeshed/core/state"
	"snipeshed/wire"
)

const (
	defaultListed = 20
	maxListed     = 100
)

// Show returns a ticket by number, or the configuration in force here when the number is 0.
func (o *Oper) Show(ctx context.Context, req *wire.ShowRequest) (*wire.ShowResponse, error) {
	n := core.TicketNumber(req.GetNumber())
	if n == 0 {
		return &wire.ShowResponse{Configuration: o.state.Snapshot()}, nil
	}
	if kept, ok := o.state.Since(n-1, 1); ok && len(kept) == 1 {
		return &wire.ShowResponse{Ticket: kept[0]}, nil
	}
	object, err := o.store.Get(ctx, state.TicketKey(n))
	if errors.Is(err, core.ErrNotFound) {
		return nil, &core.Error{
			Kind: core.KindNotFound, Run: core.RunNot,
			Message: fmt.Sprintf("ticket %d is not in the log; the last one in force here is %d", n, o.state.Number()),
			Remedy:  "list the tickets with snipeshed ticket list; old ones may have been replaced by a snapshot",
		}
	}
	if err != nil {
		return nil, unread(err)
	}
	t, err := state.DecodeTicket(object.Key, object.Value)
	if err != nil {
		return nil, err
	}
	return &wire.ShowResponse{Ticket: t}, nil
}

// List returns up to limit tickets after a number, by default 20 and at most 100.
func (o *Oper) List(ctx context.Context, req *wire.ListRequest) (*wire.ListResponse, error) {
	limit, after := int(req.GetLimit()), core.TicketNumber(req.GetAfter())
	if limit <= 0 {
		limit = defaultListed
	}
	limit = min(limit, maxListed)
	if kept, ok := o.state.Since(after, limit); ok {
		return &wire.ListResponse{Tickets: kept}, nil
	}
	resp := &wire.ListResponse{}
	for len(resp.Tickets) < limit {
		asked := min(listPage, limit-len(resp.Tickets))
		page, err := o.ledger.page(ctx, after, asked)
		if err != nil {
			return nil, unread(err)
		}
		resp.Tickets = append(resp.Tickets, page...)
		if len(page) < asked {
			break
		}
		after = core.TicketNumber(page[len(page)-1].GetNumber())
	}
	return resp, nil
}

// unread turns a failed read of the object API into an error for the operator.
func unread(err error) error {
	var trimmed *trimmedError
	if errors.As(err, &trimmed) {
		return &core.Error{
			Kind: core.KindNotFound, Run: core.RunNot, Message: err.Error(), Remedy: "start from a later ticket",
		}
	}
	var storeErr *core.StoreError
	if !errors.As(err, &storeErr) {
		return err
	}
	return &core.Error{
		Kind: core.KindStoreDown, Run: core.RunNot, Cause: err,
		Message: "older tickets cannot be read, because the object API cannot be used",
		Remedy:  "try again when it answers; the configuration in force and the last tickets can be read without it",
	}
}
