package oper

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"snipeshed/core"
	"snipeshed/core/check"
	"snipeshed/core/state"
	"snipeshed/wire"
)

const (
	// applyTimeout leaves time for several calls of the default store_timeout_ms of 2 s.
	applyTimeout = 10 * time.Second
	// maxFailures is how many calls may fail before a ticket is refused; when a write may have taken
	// effect, reading back goes on until applyTimeout instead.
	maxFailures = 3
	// retryDelay is the longest wait after a failed call.
	retryDelay = 200 * time.Millisecond
)

// Apply accepts a ticket as the next of the log, or returns why it was refused. A ticket with the id of
// an accepted one is that ticket: it succeeds with the same number.
func (o *Oper) Apply(ctx context.Context, t *wire.Ticket) (*wire.Ticket, error) {
	if err := identified(t); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	t = proto.CloneOf(t)
	t.Format = max(t.GetFormat(), state.Needs(t))
	accepted, err := o.ledger.append(ctx, t)
	log := o.Log.WithField("id", t.GetId()).WithField("author", t.GetAuthor())
	if err != nil {
		log.WithField("error", err).Warn("ticket refused")
		return nil, err
	}
	log.WithField("number", accepted.GetNumber()).Info("ticket accepted")
	return accepted, nil
}

func identified(t *wire.Ticket) error {
	if t.GetId() == "" {
		return badTicket("the ticket has no id", "give it a unique id, which makes a retry safe")
	}
	if state.HasUnknown(t) {
		return &core.Error{
			Kind: core.KindOldVersion, Run: core.RunNot, Message: "the ticket has fields that this instance's version of snipeshed does not know",
			Remedy: "apply it at an instance of the version for which it was written, or replace this one first",
		}
	}
	if t.GetAuthor() == "" {
		return badTicket("the ticket has no author", "name the author, whom others ask in case of a conflict")
	}
	return nil
}

func badTicket(message, remedy string) error {
	return &core.Error{Kind: core.KindBadRequest, Run: core.RunNot, Message: message, Remedy: remedy}
}

// attempt is the state of one append.
type attempt struct {
	*ledger
	ticket *wire.Ticket
	// pending is the number under which a write may have taken effect or may still do so; 0 means none.
	// The ticket must not be written under another number before the log shows what has this one.
	pending core.TicketNumber
	// wrote is set once a write's answer was lost.
	wrote    bool
	failures int
}

func (l *ledger) append(ctx context.Context, t *wire.Ticket) (*wire.Ticket, error) {
	select {
	case l.turn <- struct{}{}:
		defer func() { <-l.turn }()
	case <-ctx.Done():
		return nil, &core.Error{
			Kind: core.KindDeadline, Run: core.RunNot, Message: "other tickets are still being accepted", Remedy: "try again",
		}
	}
	t = proto.CloneOf(t)
	t.Number, t.AcceptedUnixMs = 0, l.Clock.Now().UnixMilli()
	a := &attempt{ledger: l, ticket: t}
	for {
		accepted, err := a.try(ctx)
		if err == nil {
			return accepted, nil
		}
		if err := a.final(ctx, err); err != nil {
			return nil, err
		}
		if !errors.Is(err, core.ErrVersion) {
			a.wait(ctx)
		}
	}
}

func (a *attempt) wait(ctx context.Context) {
	select {
	case <-time.After(rand.N(retryDelay)):
	case <-ctx.Done():
	}
}

// try reads the log up to its end and then either finds the ticket there, refuses it, or creates the next number.
func (a *attempt) try(ctx context.Context) (*wire.Ticket, error) {
	if err := a.catchUp(ctx); err != nil {
		return nil, err
	}
	found, err := a.found(ctx)
	if found != nil {
		return found, err
	}
	cfg := a.state.Config()
	if a.pending <= cfg.Number && wasRead(err) {
		a.pending = 0 // another ticket has that number, so the write can no longer take effect
	}
	if err != nil {
		return nil, err
	}
	if err := (check.Check{Source: "ticket " + a.ticket.GetId()}).Ticket(cfg, a.ticket); err != nil {
		return nil, err
	}
	if a.pending == 0 { // the fleet was asked before the first write
		if err := a.supported(ctx, a.ticket.GetFormat()); err != nil {
			return nil, err
		}
	}
	return a.create(ctx, cfg.Number+1)
}

// wasRead reports whether a search with this result has seen the whole log after the base.
func wasRead(err error) bool {
	var refusal *core.Error
	return err == nil || (errors.As(err, &refusal) && refusal.Run == core.RunNot)
}

// create writes the ticket under a number. If an earlier write under this number is still on its way, both
// carry the same id, and the condition lets only one of them take effect.
func (a *attempt) create(ctx context.Context, n core.TicketNumber) (*wire.Ticket, error) {
	t := proto.CloneOf(a.ticket)
	t.Number = uint64(n)
	value, err := state.EncodeTicket(t)
	if err != nil {
		return nil, err
	}
	if _, err := a.store.Put(ctx, state.TicketKey(n), value, 0); err != nil {
		if core.MayHaveTakenEffect(err) {
			a.pending, a.wrote = n, true
		}
		return nil, err
	}
	if err := a.state.Apply(t); err != nil {
		a.Log.WithField("number", n).WithField("error", err).Error("accepted ticket is not in force here")
	}
	a.accepted(t)
	return t, nil
}

// final returns the error with which the append ends, or nil when it shall try again.
func (a *attempt) final(ctx context.Context, err error) error {
	var refusal *core.Error
	switch {
	case a.pending != 0:
		if ctx.Err() == nil && !errors.As(err, &refusal) {
			return nil
		}
		return a.unclear(err)
	case errors.As(err, &refusal):
		return refusal
	case errors.Is(err, core.ErrVersion):
		if ctx.Err() == nil {
			return nil
		}
		return &core.Error{
			Kind: core.KindDeadline, Run: core.RunNot, Cause: err,
			Message: "other tickets took the next number until the time ran out", Remedy: "try again",
		}
	}
	a.failures++
	if a.failures < maxFailures && a.store.Up() && ctx.Err() == nil {
		return nil
	}
	return a.refused(err)
}

// refused says that this call wrote nothing. It says nothing of an earlier call with the same ticket,
// because the log may not have been read.
func (a *attempt) refused(err error) error {
	e := &core.Error{
		Kind: core.KindStoreDown, Run: core.RunNot, Cause: err,
		Message: "this call wrote no ticket, because the object API cannot be used",
		Remedy:  "apply the ticket again when snipeshed status shows the store as up, with the same id if an earlier call ended unclear",
	}
	var storeErr *core.StoreError
	if !errors.As(err, &storeErr) {
		e.Kind, e.Message, e.Remedy = core.KindInternal, "this call wrote no ticket", "report this to the developers"
	}
	return e
}

func (a *attempt) unclear(err error) error {
	return &core.Error{
		Kind: core.KindOutcomeUnknown, Run: core.RunUnknown, Cause: err,
		Message: fmt.Sprintf("the ticket %s may have been accepted; the object API's answer was lost", a.ticket.GetId()),
		Remedy:  "apply the same ticket with the same id and base again; it is accepted at most once",
	}
}
