package oper

import (
	"context"
	"errors"
	"fmt"
	"math"

	"snipeshed/core"
	"snipeshed/core/state"
	"snipeshed/wire"
)

// listPageSize bounds a list response of the object API to about 43 MB of base64 when every ticket has 1 MB.
const listPageSize = 32 // tickets

// ticketLog reads and appends to the log of accepted tickets in the object API.
type ticketLog struct {
	core.Common
	store      core.Store
	state      *state.State
	onAccepted func(*wire.Ticket)
	// checkFormat returns an error if some live instance cannot apply tickets of a format.
	checkFormat func(ctx context.Context, format uint32) error
	// appendSem is a semaphore of size one. Concurrent appends of one instance would only compete for the next number.
	appendSem chan struct{}
}

func newTicketLog(shared core.Common, st core.Store, s *state.State) *ticketLog {
	return &ticketLog{Common: shared, store: st, state: s, onAccepted: func(*wire.Ticket) {}, appendSem: make(chan struct{}, 1)}
}

// catchUp applies the tickets in the log that have not been applied to the state.
func (l *ticketLog) catchUp(ctx context.Context) error {
	for {
		page, err := l.readPage(ctx, l.state.Number(), listPageSize)
		if err != nil {
			return err
		}
		for _, t := range page {
			if err := l.state.Apply(t); err != nil {
				return catchUpError(err)
			}
		}
		if len(page) < listPageSize {
			return nil
		}
	}
}

// catchUpError turns a failure to apply the next ticket of the log into an error for the operator.
func catchUpError(err error) error {
	if state.NeedsNewer(err) {
		return &core.Error{
			Kind: core.KindStaleState, Execution: core.NotExecuted, Cause: err,
			Message: "this instance cannot read the whole log", Remedy: "apply the ticket at an instance of a newer version, and replace this one",
		}
	}
	var gap *state.GapError
	if !errors.As(err, &gap) {
		return err
	}
	return &core.Error{
		Kind: core.KindStaleState, Execution: core.NotExecuted, Cause: err,
		Message: "this instance lags so far behind that the log no longer holds the next ticket",
		Remedy:  "try again when this instance has loaded a snapshot, or use another instance",
	}
}

// readPage reads up to limit tickets after n from the object API; it returns fewer only at the end of the log. Objects of other
// writers among the tickets are left out.
func (l *ticketLog) readPage(ctx context.Context, n core.TicketNumber, limit int) ([]*wire.Ticket, error) {
	var tickets []*wire.Ticket
	after := state.TicketKey(n)
	for {
		asked := limit - len(tickets)
		objects, _, err := l.store.List(ctx, state.TicketPrefix, after, asked)
		if err != nil {
			return nil, err
		}
		for _, o := range objects {
			after = o.Key
			if !state.IsTicketKey(o.Key) {
				continue
			}
			t, err := state.DecodeTicket(o.Key, o.Value)
			if err != nil {
				return nil, err
			}
			tickets = append(tickets, t)
		}
		if len(objects) < asked || len(tickets) >= limit {
			return tickets, nil
		}
	}
}

// ticketsBetween returns the tickets after low up to and including high, from memory if all of them are there.
func (l *ticketLog) ticketsBetween(ctx context.Context, low, high core.TicketNumber) ([]*wire.Ticket, error) {
	if low >= high {
		return nil, nil
	}
	if kept, ok := l.state.TicketsAfter(low, math.MaxInt); ok && len(kept) >= int(high-low) {
		return kept[:high-low], nil
	}
	var tickets []*wire.Ticket
	for n := low; n < high; {
		page, err := l.readPage(ctx, n, int(min(high-n, listPageSize)))
		if err != nil {
			return nil, err
		}
		if len(page) == 0 || page[0].GetNumber() != uint64(n)+1 {
			return nil, &trimmedError{missing: n + 1}
		}
		tickets = append(tickets, page...)
		n = core.TicketNumber(page[len(page)-1].GetNumber())
	}
	return tickets, nil
}

// trimmedError means that a ticket has been deleted from the log.
type trimmedError struct {
	missing core.TicketNumber
}

func (e *trimmedError) Error() string {
	return fmt.Sprintf("ticket %d is no longer kept; tickets older than ticket_retention_ms are deleted", e.missing)
}
