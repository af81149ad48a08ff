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

// found returns the accepted ticket with the id of this one, or a conflict with a ticket after its base.
func (a *attempt) found(ctx context.Context) (*wire.Ticket, error) {
	if t, ok := a.state.Lookup(a.ticket.GetId()); ok {
		return a.same(t)
	}
	head, base := a.state.Number(), core.TicketNumber(a.ticket.GetBase())
	if base > head {
		return nil, badTicket(fmt.Sprintf("field base has the value \"%d\", but the last ticket is %d", base, head),
			"use the number that snipeshed ticket show prints")
	}
	// The id can only be in the log after the base, as the ticket was made after reading that number.
	later, err := a.between(ctx, base, head)
	var trimmed *trimmedError
	if errors.As(err, &trimmed) {
		return nil, &core.Error{
			Kind: core.KindConflict, Run: core.RunUnknown, Cause: err,
			Message: fmt.Sprintf("the base %d is so old that an earlier acceptance of this ticket cannot be excluded", base),
			Remedy:  "read the configuration with snipeshed ticket show and make a new ticket if the change is missing",
		}
	}
	if err != nil {
		return nil, err
	}
	for _, t := range later {
		if t.GetId() == a.ticket.GetId() {
			return a.same(t)
		}
	}
	return nil, a.conflict(later)
}

// same returns an accepted ticket if its content is that of this ticket.
func (a *attempt) same(accepted *wire.Ticket) (*wire.Ticket, error) {
	want, got := proto.CloneOf(a.ticket), proto.CloneOf(accepted)
	for _, t := range []*wire.Ticket{want, got} {
		t.Number, t.AcceptedUnixMs, t.Format = 0, 0, 0
	}
	if !proto.Equal(want, got) {
		return nil, badTicket(fmt.Sprintf("field id has the value %q, which ticket %d has with other content", a.ticket.GetId(), accepted.GetNumber()),
			"leave the id out to get a new one")
	}
	if a.wrote {
		a.accepted(accepted) // the answer that would have led to this call was lost
	}
	return accepted, nil
}

// conflict returns an error when a later ticket than the base touches an item of this ticket; it names the last one.
func (a *attempt) conflict(later []*wire.Ticket) error {
	touched := map[string]bool{}
	for _, item := range a.ticket.GetItems() {
		touched[state.ItemKey(item)] = true
	}
	for i := len(later) - 1; i >= 0; i-- {
		for _, item := range later[i].GetItems() {
			if key := state.ItemKey(item); touched[key] {
				return &core.Error{
					Kind: core.KindConflict, Run: core.RunNot,
					Message: fmt.Sprintf("ticket %d of %s changed %s after the base %d of this ticket",
						later[i].GetNumber(), later[i].GetAuthor(), key, a.ticket.GetBase()),
					Remedy: fmt.Sprintf("look at it with snipeshed ticket show %d, then make a new ticket that starts from there", later[i].GetNumber()),
				}
			}
		}
	}
	return nil
}
