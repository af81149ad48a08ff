package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"snipeshed/core"
	"snipeshed/io/host"
	"snipeshed/io/peer"
)

// eventSink writes the events of one generation to the client. flush sends buffered data. reset discards the events so far;
// it returns false if a part of them has already been sent to the client.
type eventSink interface {
	event(ev *core.Event) error
	flush() error
	reset() bool
}

// maxAttempts is the maximum number of attempts for one request, across pools, owners and generations.
const maxAttempts = 6

// errClientWrite means that writing to the client failed.
var errClientWrite = errors.New("write to client failed")

// generate runs a call until it completes or fails, with retries, and passes its events to the sink.
func (e *Entry) generate(ctx context.Context, g *generation, s eventSink) error {
	ctx, cancel := context.WithDeadline(ctx, g.arrived.Add(g.timeout))
	defer cancel()
	e.Budget.CountCall(g.call.Team, "")
	p := &progress{g: g, sink: s, triedOwners: map[core.InstanceID]bool{}}
	var last error
	for i := 0; i < maxAttempts; i++ {
		if p.pool == "" {
			pool, err := e.choosePool(g, p.unusablePools)
			if err != nil {
				return p.typedError(preferTyped(last, err))
			}
			p.pool = pool
		}
		owner, err := e.nextOwner(p)
		if err != nil && core.ErrorKindOf(last) == core.KindLeaving {
			owner, err = e.awaitOwner(ctx, p)
		}
		if err != nil {
			return p.typedError(preferTyped(last, err))
		}
		err = e.attemptCall(ctx, p, owner)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return p.deadlineError(ctx, err)
		}
		last = err
		if !e.shouldRetry(p, owner, err) {
			return p.typedError(err)
		}
	}
	return p.typedError(last)
}

// preferTyped returns the error of the last attempt if it is a *core.Error, and err otherwise.
func preferTyped(last, err error) error {
	var typed *core.Error
	if errors.As(last, &typed) {
		return typed
	}
	return err
}

// nextOwner returns the highest-ranked owner of the pool that this call has not tried yet.
func (e *Entry) nextOwner(p *progress) (core.Peer, error) {
	for _, o := range e.Members.Owners(e.Clock.Now(), host.OwnerKey(p.pool), maxAttempts) {
		if !p.triedOwners[o.ID] {
			return o, nil
		}
	}
	return core.Peer{}, &core.Error{
		Kind: core.KindNoEndpoint, Message: "no instance owns pool " + string(p.pool), Remedy: "send the request again later",
		Execution: core.NotExecuted, RetryAfter: time.Second,
	}
}

// deadlineMargin is how much earlier the owner's deadline passes than the entry's, so that the owner's error arrives in
// time: only the owner knows whether the call was run.
const deadlineMargin = 20 * time.Millisecond

const (
	ownerCheckInterval = 50 * time.Millisecond
	// maxOwnerWait is the retry delay that the caller would get instead.
	maxOwnerWait = time.Second
)

// awaitOwner waits for an owner that this call has not tried yet. While instances are replaced, all that are known here may be
// leaving, until their successors become known.
func (e *Entry) awaitOwner(ctx context.Context, p *progress) (core.Peer, error) {
	ctx, cancel := context.WithTimeout(ctx, maxOwnerWait)
	defer cancel()
	t := time.NewTicker(ownerCheckInterval)
	defer t.Stop()
	for {
		owner, err := e.nextOwner(p)
		if err == nil {
			return owner, nil
		}
		select {
		case <-ctx.Done():
			return core.Peer{}, err
		case <-t.C:
		}
	}
}

// attemptCall sends the call to one owner and passes the frames of its answer to the sink.
func (e *Entry) attemptCall(ctx context.Context, p *progress, owner core.Peer) error {
	defer func() { _ = p.sink.flush() }() // the frame announced by More may be missing; a lost client is detected later
	req := p.g.call
	req.Pool = p.pool
	req.Resume = p.resumePoint
	req.Avoid = p.avoidEndpoints
	// A call that may have run was admitted before; a refusal for overload could no longer say that it was not run.
	req.PreviouslyQueued = p.previouslyQueued || p.mayHaveRun
	if p.resumePoint != nil {
		req.Resume = &core.ResumePoint{Endpoint: p.resumePoint.Endpoint, Generation: p.resumePoint.Generation, From: p.nextToken}
	}
	deadline, _ := ctx.Deadline()
	req.DeadlineMS = max((time.Until(deadline) - deadlineMargin).Milliseconds(), 1)

	// When the client disconnects, the owner gets an explicit cancellation before the call's
	// connection is closed, because a lost connection alone does not cancel the generation.
	cctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stop := context.AfterFunc(ctx, func() { e.cancelCall(ctx, owner, req.RequestID, cancel) })
	defer stop()
	recv := func(f *core.Frame) error {
		err := e.handleFrame(p, f)
		if err == nil && !f.More {
			err = clientWriteError(p.sink.flush())
		}
		if errors.Is(err, errClientWrite) {
			e.cancelAtOwner(owner, req.RequestID)
		}
		return err
	}
	if owner.ID == e.Members.Self().ID {
		return e.Host.Serve(cctx, &req, recv)
	}
	return e.Peer.Call(cctx, owner.Address, &req, recv)
}

// deadlineGrace is how long an entry waits for the owner's error after a call's deadline. deadlineMargin alone is
// too short on a busy machine: calls that never left the queue would be reported with run "unknown".
const deadlineGrace = 250 * time.Millisecond

// cancelCall cancels a call at its owner after its deadline has passed or its client has disconnected.
func (e *Entry) cancelCall(ctx context.Context, owner core.Peer, id core.RequestID, cancel context.CancelFunc) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		time.AfterFunc(deadlineGrace, cancel)
		e.cancelAtOwner(owner, id)
		return
	}
	e.cancelAtOwner(owner, id)
	cancel()
}

const (
	// cancelTimeout bounds one cancellation request.
	cancelTimeout  = time.Second
	cancelAttempts = 4
	cancelBackoff  = 100 * time.Millisecond // before the second attempt; doubled for each further one
)

// cancelAtOwner cancels a call at its owner. A cancellation may be repeated, and one that is lost leaves the engine at work on
// the generation until its end.
func (e *Entry) cancelAtOwner(owner core.Peer, id core.RequestID) {
	if owner.ID == e.Members.Self().ID {
		e.Host.Cancel(context.Background(), id)
		return
	}
	backoff := cancelBackoff
	for i := range cancelAttempts {
		if i > 0 {
			time.Sleep(backoff)
			backoff *= 2
		}
		err := e.sendCancel(owner, id)
		if err == nil {
			return
		}
		e.Log.WithFields(map[string]any{"request_id": id, "instance": owner.ID, "attempt": i + 1, "error": err.Error()}).
			Warn("canceling the call at its pool owner failed")
	}
}

func (e *Entry) sendCancel(owner core.Peer, id core.RequestID) error {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	return e.Peer.Cancel(ctx, owner.Address, id)
}

// handleFrame processes one frame from the pool owner.
func (e *Entry) handleFrame(p *progress, f *core.Frame) error {
	switch {
	case f.Load != nil:
		e.poolLoads.put(p.pool, *f.Load, e.Clock.Now())
		return nil
	case f.Started != nil:
		if p.resumePoint != nil && p.resumePoint.Generation != f.Started.Generation {
			e.Meter.Count("crossed_answers")
			return fmt.Errorf("%w: owner answered with generation %q for %q", peer.ErrLost, f.Started.Generation, p.resumePoint.Generation)
		}
		p.resumePoint = f.Started
		p.started = p.started || !f.Started.Waiting
		return nil
	case f.PreviouslyQueued:
		p.previouslyQueued = true
		return nil
	case f.Event != nil:
		return e.deliverEvent(p, f.Event)
	}
	return nil
}

// deliverEvent passes an event to the sink; it drops duplicate tokens and returns an error for gaps.
func (e *Entry) deliverEvent(p *progress, ev *core.Event) error {
	switch {
	case ev.Preempted:
		e.Meter.Count("preemptions")
		return nil
	case ev.Done:
		if ev.Tokens != p.nextToken {
			return fmt.Errorf("%w: answer ends at token %d of %d", peer.ErrLost, p.nextToken, ev.Tokens)
		}
		p.done = true
	case ev.Index < p.nextToken:
		e.Meter.Count("duplicate_tokens")
		return nil
	case ev.Index > p.nextToken:
		return fmt.Errorf("%w: answer skips from token %d to %d", peer.ErrLost, p.nextToken, ev.Index)
	default:
		p.nextToken++
	}
	return clientWriteError(p.sink.event(ev))
}

func clientWriteError(err error) error {
	if err != nil {
		return fmt.Errorf("%w: %w", errClientWrite, err)
	}
	return nil
}

// shouldRetry updates the progress after a failed attempt and reports whether to make another one.
func (e *Entry) shouldRetry(p *progress, owner core.Peer, err error) bool {
	kind := core.ErrorKindOf(err)
	switch {
	case p.done || errors.Is(err, errClientWrite):
		return false
	case errors.Is(err, peer.ErrUnreachable):
		e.suspectOwner(owner, err)
		p.triedOwners[owner.ID] = true
		return true
	case errors.Is(err, peer.ErrLost):
		e.suspectOwner(owner, err)
		p.triedOwners[owner.ID] = true
		p.mayHaveRun = true
		return p.resumePoint != nil || e.takeRetry(p)
	case kind == core.KindLeaving:
		p.triedOwners[owner.ID] = true
		return true
	case kind == core.KindNoEndpoint && p.resumePoint == nil:
		p.mayHaveRun = p.mayHaveRun || !provesNotRun(err)
		p.unusablePools = append(p.unusablePools, p.pool)
		p.pool = ""
		return e.takeRetry(p)
	case kind == core.KindStreamBroken || kind == core.KindNoEndpoint:
		return e.resetForRetry(p)
	}
	return false
}

// provesNotRun reports whether an error says that the call was not run.
func provesNotRun(err error) bool {
	var e *core.Error
	return errors.As(err, &e) && e.Execution == core.NotExecuted
}

// resetForRetry resets the progress so that the next attempt generates the answer from the first token. It returns false if
// that is not allowed: a part of the answer has been sent, and an answer never combines two generations, or the retry budget
// is used up.
func (e *Entry) resetForRetry(p *progress) bool {
	if !p.sink.reset() || !e.takeRetry(p) {
		return false
	}
	if p.resumePoint != nil {
		p.avoidEndpoints = append(p.avoidEndpoints, string(p.resumePoint.Endpoint))
	}
	p.resumePoint, p.nextToken, p.started, p.mayHaveRun = nil, 0, false, true
	e.Meter.Count("regenerated")
	return true
}

// takeRetry takes a retry from the budgets of the team and of the endpoint that failed; it reports whether one was left.
func (e *Entry) takeRetry(p *progress) bool {
	var failed core.EndpointID
	if p.resumePoint != nil {
		failed = p.resumePoint.Endpoint
	}
	ok := e.Budget.TakeRetry(p.g.call.Team, failed)
	if !ok {
		e.Meter.Count("retries_over_budget")
	}
	return ok
}

func (e *Entry) suspectOwner(owner core.Peer, err error) {
	if owner.ID == e.Members.Self().ID {
		return
	}
	e.Members.MarkSuspect(e.Clock.Now(), owner.ID)
	e.Meter.Count("suspected_instances")
	e.Log.WithFields(map[string]any{"instance": owner.ID, "error": err.Error()}).Warn("instance did not answer; trying another one")
}
