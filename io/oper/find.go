package oper

import (
	"context"
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"snipeshed/core"
	"snipeshed/core/state"
	"snipeshed/wire"
)

// findAccepted returns the ticket in the log that has the id of this one. Without such a ticket it returns an error if
// a ticket after the base conflicts with this one.
func (a *appendAttempt) findAccepted(ctx context.Context) (*wire.Ticket, error) {
	if t, ok := a.state.TicketByID(a.ticket.GetId()); ok {
		return a.matchAccepted(t)
	}
	head, base := a.state.Number(), core.TicketNumber(a.ticket.GetBase())
	if base > head {
		return nil, badTicketError(fmt.Sprintf("field base has the value \"%d\", but the last ticket is %d", base, head),
			"use the number that snipeshed ticket show prints")
	}
	// The id can only occur after the base: the ticket was created after its author had read the base.
	later, err := a.ticketsBetween(ctx, base, head)
	var trimmed *trimmedError
	if errors.As(err, &trimmed) {
		return nil, &core.Error{
			Kind: core.KindConflict, Execution: core.ExecutionUnknown, Cause: err,
			Message: fmt.Sprintf("the base %d is so old that an earlier acceptance of this ticket cannot be excluded", base),
			Remedy:  "read the configuration with snipeshed ticket show and make a new ticket if the change is missing",
		}
	}
	if err != nil {
		return nil, err
	}
	for _, t := range later {
		if t.GetId() == a.ticket.GetId() {
			return a.matchAccepted(t)
		}
	}
	return nil, a.conflictError(later)
}

// matchAccepted returns the accepted ticket with the same id, or an error if its content differs from this ticket.
func (a *appendAttempt) matchAccepted(accepted *wire.Ticket) (*wire.Ticket, error) {
	want, got := proto.CloneOf(a.ticket), proto.CloneOf(accepted)
	for _, t := range []*wire.Ticket{want, got} {
		t.Number, t.AcceptedUnixMs, t.Format = 0, 0, 0
	}
	if !proto.Equal(want, got) {
		return nil, badTicketError(fmt.Sprintf("field id has the value %q, which ticket %d has with different content", a.ticket.GetId(), accepted.GetNumber()),
			"leave the id out to get a new one")
	}
	if a.answerLost {
		a.onAccepted(accepted) // this attempt wrote it, but the response was lost
	}
	return accepted, nil
}

// conflictError returns an error that names the last ticket after the base that changed an item of this ticket, or nil if
// there is none.
func (a *appendAttempt) conflictError(later []*wire.Ticket) error {
	touched := map[string]bool{}
	for _, item := range a.ticket.GetItems() {
		touched[state.ItemKey(item)] = true
	}
	for i := len(later) - 1; i >= 0; i-- {
		for _, item := range later[i].GetItems() {
			if key := state.ItemKey(item); touched[key] {
				return &core.Error{
					Kind: core.KindConflict, Execution: core.NotExecuted,
					Message: fmt.Sprintf("ticket %d of %s changed %s after the base %d of this ticket",
						later[i].GetNumber(), later[i].GetAuthor(), key, a.ticket.GetBase()),
					Remedy: fmt.Sprintf("look at it with snipeshed ticket show %d, then make a new ticket that starts from there", later[i].GetNumber()),
				}
			}
		}
	}
	return nil
}
