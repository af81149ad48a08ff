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
	defaultListLimit = 20  // tickets
	maxListLimit     = 100 // tickets
)

// Show returns a ticket by number, or the configuration in force at this instance when the number is 0.
func (o *Server) Show(ctx context.Context, req *wire.ShowRequest) (*wire.ShowResponse, error) {
	n := core.TicketNumber(req.GetNumber())
	if n == 0 {
		return &wire.ShowResponse{Configuration: o.state.Snapshot()}, nil
	}
	if kept, ok := o.state.TicketsAfter(n-1, 1); ok && len(kept) == 1 {
		return &wire.ShowResponse{Ticket: kept[0]}, nil
	}
	object, err := o.store.Get(ctx, state.TicketKey(n))
	if errors.Is(err, core.ErrNotFound) {
		return nil, o.missingTicketError(ctx, n)
	}
	if err != nil {
		return nil, readError(err)
	}
	t, err := state.DecodeTicket(object.Key, object.Value)
	if err != nil {
		return nil, err
	}
	return &wire.ShowResponse{Ticket: t}, nil
}

// missingTicketError returns an error that says why a ticket is not in the log.
func (o *Server) missingTicketError(ctx context.Context, n core.TicketNumber) error {
	if last := o.state.Number(); n > last {
		return &core.Error{
			Kind: core.KindNotFound, Execution: core.NotExecuted,
			Message: fmt.Sprintf("ticket %d is not in the log; the last one in force here is %d", n, last),
			Remedy:  "list the tickets with snipeshed ticket list",
		}
	}
	first, err := o.ticketLog.readPage(ctx, 0, 1)
	if err != nil {
		return readError(err)
	}
	e := &core.Error{
		Kind: core.KindNotFound, Execution: core.NotExecuted,
		Message: fmt.Sprintf("ticket %d was accepted, but is no longer kept: tickets older than ticket_retention_ms are deleted", n),
		Remedy:  "its effect is part of the configuration, which snipeshed ticket show prints",
	}
	if len(first) > 0 {
		e.Message += fmt.Sprintf("; the oldest kept one is %d", first[0].GetNumber())
	}
	return e
}

// List returns up to limit tickets after a number, by default 20 and at most 100.
func (o *Server) List(ctx context.Context, req *wire.ListRequest) (*wire.ListResponse, error) {
	limit, after := int(req.GetLimit()), core.TicketNumber(req.GetAfter())
	if limit <= 0 {
		limit = defaultListLimit
	}
	limit = min(limit, maxListLimit)
	if kept, ok := o.state.TicketsAfter(after, limit); ok {
		return &wire.ListResponse{Tickets: kept}, nil
	}
	resp := &wire.ListResponse{}
	for len(resp.Tickets) < limit {
		asked := min(listPageSize, limit-len(resp.Tickets))
		page, err := o.ticketLog.readPage(ctx, after, asked)
		if err != nil {
			return nil, readError(err)
		}
		if len(resp.Tickets) == 0 && len(page) > 0 && page[0].GetNumber() > uint64(after)+1 {
			resp.FirstKept = page[0].GetNumber()
		}
		resp.Tickets = append(resp.Tickets, page...)
		if len(page) < asked {
			break
		}
		after = core.TicketNumber(page[len(page)-1].GetNumber())
	}
	return resp, nil
}

// readError turns a failed read of the object API into an error for the operator.
func readError(err error) error {
	var trimmed *trimmedError
	if errors.As(err, &trimmed) {
		return &core.Error{
			Kind: core.KindNotFound, Execution: core.NotExecuted, Message: err.Error(), Remedy: "start from a later ticket",
		}
	}
	var storeErr *core.StoreError
	if !errors.As(err, &storeErr) {
		return err
	}
	return &core.Error{
		Kind: core.KindStoreDown, Execution: core.NotExecuted, Cause: err,
		Message: "older tickets cannot be read, because the object API cannot be used",
		Remedy:  "try again when it answers; the configuration in force and the last tickets can be read without it",
	}
}
