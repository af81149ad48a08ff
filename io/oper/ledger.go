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

// listPage bounds an answer of the object API to about 43 MB of base64 when every ticket has 1 MB.
const listPage = 32

// ledger appends tickets to the log in the object API and reads them back.
type ledger struct {
	core.Shared
	store    core.Store
	state    *state.State
	accepted func(*wire.Ticket)
	// supported refuses a format of tickets that some live instance cannot apply.
	supported func(ctx context.Context, format uint32) error
	// turn holds one token: an instance appends one ticket at a time, as its own tickets would only race each other.
	turn chan struct{}
}

func newLedger(shared core.Shared, st core.Store, s *state.State) *ledger {
	return &ledger{Shared: shared, store: st, state: s, accepted: func(*wire.Ticket) {}, turn: make(chan struct{}, 1)}
}

// catchUp applies the tickets that the log has and the state lacks.
func (l *ledger) catchUp(ctx context.Context) error {
	for {
		page, err := l.page(ctx, l.state.Number(), listPage)
		if err != nil {
			return err
		}
		for _, t := range page {
			if err := l.state.Apply(t); err != nil {
				return behind(err)
			}
		}
		if len(page) < listPage {
			return nil
		}
	}
}

func behind(err error) error {
	if state.NeedsNewer(err) {
		return &core.Error{
			Kind: core.KindStaleState, Run: core.RunNot, Cause: err,
			Message: "this instance cannot read the whole log", Remedy: "apply the ticket at an instance of a newer version, and replace this one",
		}
	}
	var gap *state.GapError
	if !errors.As(err, &gap) {
		return err
	}
	return &core.Error{
		Kind: core.KindStaleState, Run: core.RunNot, Cause: err,
		Message: "this instance is so far behind that the log no longer holds the next ticket",
		Remedy:  "try again when it has loaded a snapshot, or ask another instance",
	}
}

// page reads up to limit tickets after n from the object API.
func (l *ledger) page(ctx context.Context, n core.TicketNumber, limit int) ([]*wire.Ticket, error) {
	objects, _, err := l.store.List(ctx, state.TicketPrefix, state.TicketKey(n), limit)
	if err != nil {
		return nil, err
	}
	tickets := make([]*wire.Ticket, len(objects))
	for i, o := range objects {
		if tickets[i], err = state.DecodeTicket(o.Key, o.Value); err != nil {
			return nil, err
		}
	}
	return tickets, nil
}

// between returns the tickets after low up to and including high, from memory if they are kept there.
func (l *ledger) between(ctx context.Context, low, high core.TicketNumber) ([]*wire.Ticket, error) {
	if low >= high {
		return nil, nil
	}
	if kept, ok := l.state.Since(low, math.MaxInt); ok && len(kept) >= int(high-low) {
		return kept[:high-low], nil
	}
	var tickets []*wire.Ticket
	for n := low; n < high; {
		page, err := l.page(ctx, n, int(min(high-n, listPage)))
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

// trimmedError says that the log no longer holds a ticket.
type trimmedError struct {
	missing core.TicketNumber
}

func (e *trimmedError) Error() string {
	return fmt.Sprintf("ticket %d is no longer kept; tickets older than ticket_retention_ms are deleted", e.missing)
}
