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
	// applyTimeout allows several calls to the object API, each up to the default store_timeout_ms of 2 s.
	applyTimeout = 10 * time.Second
	// maxFailedCalls is the number of failed calls after which a ticket is refused. It does not apply once a write may
	// have taken effect; the log is then read until applyTimeout.
	maxFailedCalls = 3
	// maxRetryDelay is the upper bound of the random delay after a failed call.
	maxRetryDelay = 200 * time.Millisecond
)

// Apply appends a ticket to the log, or returns why it was refused. It is idempotent: a ticket with the id of an accepted
// one succeeds with the number of that ticket.
func (o *Server) Apply(ctx context.Context, t *wire.Ticket) (*wire.Ticket, error) {
	if err := checkTicketFields(t); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	t = proto.CloneOf(t)
	t.Format = max(t.GetFormat(), state.RequiredFormat(t))
	accepted, err := o.ticketLog.append(ctx, t)
	log := o.Log.WithField("id", t.GetId()).WithField("author", t.GetAuthor())
	if err != nil {
		log.WithField("error", err).Warn("ticket refused")
		return nil, err
	}
	log.WithField("number", accepted.GetNumber()).Info("ticket accepted")
	return accepted, nil
}

// checkTicketFields checks that a ticket has an id and an author, and no fields unknown to this version.
func checkTicketFields(t *wire.Ticket) error {
	if t.GetId() == "" {
		return badTicketError("the ticket has no id", "give it a unique id, which makes a retry safe")
	}
	if state.HasUnknownFields(t) {
		return &core.Error{
			Kind: core.KindOldVersion, Execution: core.NotExecuted, Message: "the ticket has fields that this instance's version of snipeshed does not know",
			Remedy: "apply it at an instance of the version for which it was written, or replace this one first",
		}
	}
	if t.GetAuthor() == "" {
		return badTicketError("the ticket has no author", "set the author; others contact them about conflicting changes")
	}
	return nil
}

func badTicketError(message, remedy string) error {
	return &core.Error{Kind: core.KindBadRequest, Execution: core.NotExecuted, Message: message, Remedy: remedy}
}

// appendAttempt is the state of appending one ticket to the log.
type appendAttempt struct {
	*ticketLog
	ticket *wire.Ticket
	// pendingNumber is the number under which a write may have taken effect or may still do so; 0 means none. The ticket
	// must not be written under another number until the log shows which ticket has this one.
	pendingNumber core.TicketNumber
	// answerLost reports whether the response to a write was lost.
	answerLost bool
	failures   int
}

// append appends t under the next number, retrying until it is accepted, refused or ctx ends.
func (l *ticketLog) append(ctx context.Context, t *wire.Ticket) (*wire.Ticket, error) {
	select {
	case l.appendSem <- struct{}{}:
		defer func() { <-l.appendSem }()
	case <-ctx.Done():
		return nil, &core.Error{
			Kind: core.KindDeadline, Execution: core.NotExecuted, Message: "other tickets are still being accepted", Remedy: "try again",
		}
	}
	t = proto.CloneOf(t)
	t.Number, t.AcceptedUnixMs = 0, l.Clock.Now().UnixMilli()
	a := &appendAttempt{ticketLog: l, ticket: t}
	for {
		accepted, err := a.try(ctx)
		if err == nil {
			return accepted, nil
		}
		if err := a.finalError(ctx, err); err != nil {
			return nil, err
		}
		if !errors.Is(err, core.ErrVersionMismatch) {
			a.backOff(ctx)
		}
	}
}

// backOff waits for a random time up to maxRetryDelay.
func (a *appendAttempt) backOff(ctx context.Context) {
	select {
	case <-time.After(rand.N(maxRetryDelay)):
	case <-ctx.Done():
	}
}

// try reads the log to its end, then returns the ticket if it is there, refuses it, or writes it under the next number.
func (a *appendAttempt) try(ctx context.Context) (*wire.Ticket, error) {
	if err := a.catchUp(ctx); err != nil {
		return nil, err
	}
	found, err := a.findAccepted(ctx)
	if found != nil {
		return found, err
	}
	cfg := a.state.Config()
	if a.pendingNumber <= cfg.Number && wasLogRead(err) {
		a.pendingNumber = 0 // another ticket has that number, so the conditional write can no longer take effect
	}
	if err != nil {
		return nil, err
	}
	if err := (check.Validator{Source: "ticket " + a.ticket.GetId()}).ValidateTicket(cfg, a.ticket); err != nil {
		return nil, err
	}
	if a.pendingNumber == 0 { // otherwise the formats were checked before the first write
		if err := a.checkFormat(ctx, a.ticket.GetFormat()); err != nil {
			return nil, err
		}
	}
	return a.create(ctx, cfg.Number+1)
}

// wasLogRead reports whether findAccepted, having returned err, has read the whole log after the base.
func wasLogRead(err error) bool {
	var refusal *core.Error
	return err == nil || (errors.As(err, &refusal) && refusal.Execution == core.NotExecuted)
}

// create writes the ticket under a number that must be free. If an earlier write of it under this number is still in
// transit, only one of the two takes effect, as each is conditional; both carry the same id.
func (a *appendAttempt) create(ctx context.Context, n core.TicketNumber) (*wire.Ticket, error) {
	t := proto.CloneOf(a.ticket)
	t.Number = uint64(n)
	value, err := state.EncodeTicket(t)
	if err != nil {
		return nil, err
	}
	if _, err := a.store.Put(ctx, state.TicketKey(n), value, 0); err != nil {
		if core.MayHaveTakenEffect(err) {
			a.pendingNumber, a.answerLost = n, true
		}
		return nil, err
	}
	if err := a.state.Apply(t); err != nil {
		a.Log.WithField("number", n).WithField("error", err).Error("accepted ticket could not be applied to the state of this instance")
	}
	a.onAccepted(t)
	return t, nil
}

// finalError returns the error to end the append with, or nil to try again.
func (a *appendAttempt) finalError(ctx context.Context, err error) error {
	var refusal *core.Error
	switch {
	case a.pendingNumber != 0:
		if ctx.Err() == nil && !errors.As(err, &refusal) {
			return nil
		}
		return a.unknownOutcomeError(err)
	case errors.As(err, &refusal):
		return refusal
	case errors.Is(err, core.ErrVersionMismatch):
		if ctx.Err() == nil {
			return nil
		}
		return &core.Error{
			Kind: core.KindDeadline, Execution: core.NotExecuted, Cause: err,
			Message: "other tickets took the next number on each attempt until the timeout", Remedy: "apply the ticket again",
		}
	}
	a.failures++
	if a.failures < maxFailedCalls && a.store.Reachable() && ctx.Err() == nil {
		return nil
	}
	return a.refusedError(err)
}

// refusedError returns an error saying that this call wrote nothing. An earlier call with the same ticket may have
// written it, because the log may not have been read.
func (a *appendAttempt) refusedError(err error) error {
	e := &core.Error{
		Kind: core.KindStoreDown, Execution: core.NotExecuted, Cause: err,
		Message: "this call wrote no ticket, because the object API cannot be used",
		Remedy:  "apply the ticket again when snipeshed status shows the store as up, with the same id if the outcome of an earlier call is unknown",
	}
	var storeErr *core.StoreError
	if !errors.As(err, &storeErr) {
		e.Kind, e.Message, e.Remedy = core.KindInternal, "this call wrote no ticket", "report this to the developers"
	}
	return e
}

func (a *appendAttempt) unknownOutcomeError(err error) error {
	return &core.Error{
		Kind: core.KindOutcomeUnknown, Execution: core.ExecutionUnknown, Cause: err,
		Message: fmt.Sprintf("the ticket %s may have been accepted; the object API's answer was lost", a.ticket.GetId()),
		Remedy:  "apply the same ticket with the same id and base again; it is accepted at most once",
	}
}
