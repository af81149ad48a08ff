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

// sink takes the events of one generation; flush hands on what it has written, and reset drops what it holds and reports
// whether it could.
type sink interface {
	event(ev *core.Event) error
	flush() error
	reset() bool
}

// maxAttempts bounds the owners and generations that one request tries.
const maxAttempts = 6

// errClient means that the client could not be written to.
var errClient = errors.New("client is gone")

// generate runs a call to its end and hands its events to the sink.
func (e *Entry) generate(ctx context.Context, g *generation, s sink) error {
	ctx, cancel := context.WithDeadline(ctx, g.arrived.Add(g.timeout))
	defer cancel()
	e.Budget.Call(g.call.Team, "")
	p := &progress{g: g, sink: s, tried: map[core.InstanceID]bool{}}
	var last error
	for i := 0; i < maxAttempts; i++ {
		if p.pool == "" {
			pool, err := e.choose(g, p.badPools)
			if err != nil {
				return p.typed(firstOf(last, err))
			}
			p.pool = pool
		}
		owner, err := e.owner(p)
		if err != nil {
			return p.typed(firstOf(last, err))
		}
		err = e.attempt(ctx, p, owner)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return p.ended(ctx, err)
		}
		last = err
		if !e.again(p, owner, err) {
			return p.typed(err)
		}
	}
	return p.typed(last)
}

func firstOf(last, err error) error {
	var typed *core.Error
	if errors.As(last, &typed) {
		return typed
	}
	return err
}

// owner returns the best instance for the pool that has not failed this call.
func (e *Entry) owner(p *progress) (core.Peer, error) {
	for _, o := range e.Members.Owners(e.Clock.Now(), host.Resource(p.pool), maxAttempts) {
		if !p.tried[o.ID] {
			return o, nil
		}
	}
	return core.Peer{}, &core.Error{
		Kind: core.KindNoEndpoint, Message: "no instance owns pool " + string(p.pool), Remedy: "send the request again later",
		Run: core.RunNot, RetryAfter: time.Second,
	}
}

// deadlineMargin lets the owner's own word on a passed deadline arrive: only the owner knows whether the call was run.
const deadlineMargin = 20 * time.Millisecond

// attempt runs the call once at one owner.
func (e *Entry) attempt(ctx context.Context, p *progress, owner core.Peer) error {
	defer func() { _ = p.sink.flush() }() // the frame that More promised did not come; a lost client shows in what follows
	req := p.g.call
	req.Pool = p.pool
	req.Resume = p.at
	req.Avoid = p.avoid
	req.Admitted = p.admitted
	if p.at != nil {
		req.Resume = &core.ResumePoint{Endpoint: p.at.Endpoint, Generation: p.at.Generation, From: p.next}
	}
	deadline, _ := ctx.Deadline()
	req.DeadlineMS = max((time.Until(deadline) - deadlineMargin).Milliseconds(), 1)

	// The owner hears of a client that is gone before the call's connection
	// ends, because a lost connection alone does not cancel the generation.
	cctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stop := context.AfterFunc(ctx, func() { e.withdraw(ctx, owner, req.RequestID, cancel) })
	defer stop()
	recv := func(f *core.Frame) error {
		err := e.receive(p, f)
		if err == nil && !f.More {
			err = clientError(p.sink.flush())
		}
		if errors.Is(err, errClient) {
			e.cancelAt(owner, req.RequestID)
		}
		return err
	}
	if owner.ID == e.Members.Self().ID {
		return e.Host.Serve(cctx, &req, recv)
	}
	return e.Peer.Call(cctx, owner.Address, &req, recv)
}

// deadlineGrace is how long an entry waits beyond a call's deadline for the owner's word. With deadlineMargin alone, calls
// that had never left the queue were told "unknown" when the machine was busy.
const deadlineGrace = 250 * time.Millisecond

// withdraw ends a call at its owner when its deadline has passed or its client is gone.
func (e *Entry) withdraw(ctx context.Context, owner core.Peer, id core.RequestID, cancel context.CancelFunc) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		time.AfterFunc(deadlineGrace, cancel)
		e.cancelAt(owner, id)
		return
	}
	e.cancelAt(owner, id)
	cancel()
}

// cancelTimeout bounds a cancellation; an orphan costs no more than its own length.
const cancelTimeout = time.Second

func (e *Entry) cancelAt(owner core.Peer, id core.RequestID) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if owner.ID == e.Members.Self().ID {
		e.Host.Cancel(ctx, id)
		return
	}
	if err := e.Peer.Cancel(ctx, owner.Address, id); err != nil {
		e.Log.WithFields(map[string]any{"request_id": id, "instance": owner.ID, "error": err.Error()}).Warn("cancel failed")
	}
}

// receive checks a frame against what has been delivered and hands it on.
func (e *Entry) receive(p *progress, f *core.Frame) error {
	switch {
	case f.Load != nil:
		e.loads.put(p.pool, *f.Load, e.Clock.Now())
		return nil
	case f.Started != nil:
		if p.at != nil && p.at.Generation != f.Started.Generation {
			e.Meter.Count("crossed_answers")
			return fmt.Errorf("%w: owner answered with generation %q for %q", peer.ErrLost, f.Started.Generation, p.at.Generation)
		}
		p.at = f.Started
		p.started = p.started || !f.Started.Waiting
		return nil
	case f.Admitted:
		p.admitted = true
		return nil
	case f.Event != nil:
		return e.deliver(p, f.Event)
	}
	return nil
}

func (e *Entry) deliver(p *progress, ev *core.Event) error {
	switch {
	case ev.Preempted:
		e.Meter.Count("preemptions")
		return nil
	case ev.Done:
		if ev.Tokens != p.next {
			return fmt.Errorf("%w: answer ends at token %d of %d", peer.ErrLost, p.next, ev.Tokens)
		}
		p.done = true
	case ev.Index < p.next:
		e.Meter.Count("duplicate_tokens")
		return nil
	case ev.Index > p.next:
		return fmt.Errorf("%w: answer skips from token %d to %d", peer.ErrLost, p.next, ev.Index)
	default:
		p.next++
	}
	return clientError(p.sink.event(ev))
}

func clientError(err error) error {
	if err != nil {
		return fmt.Errorf("%w: %w", errClient, err)
	}
	return nil
}

// again decides whether a failed attempt is followed by another one.
func (e *Entry) again(p *progress, owner core.Peer, err error) bool {
	kind := core.KindOf(err)
	switch {
	case p.done || errors.Is(err, errClient):
		return false
	case errors.Is(err, peer.ErrUnreachable):
		e.suspect(owner, err)
		p.tried[owner.ID] = true
		return true
	case errors.Is(err, peer.ErrLost):
		e.suspect(owner, err)
		p.tried[owner.ID] = true
		p.maybeRun = true
		return p.at != nil || e.retry(p)
	case kind == core.KindLeaving:
		p.tried[owner.ID] = true
		return true
	case kind == core.KindNoEndpoint && p.at == nil:
		p.maybeRun = p.maybeRun || !provesNotRun(err)
		p.badPools = append(p.badPools, p.pool)
		p.pool = ""
		return e.retry(p)
	case kind == core.KindStreamBroken || kind == core.KindNoEndpoint:
		return e.regenerate(p)
	}
	return false
}

func provesNotRun(err error) bool {
	var e *core.Error
	return errors.As(err, &e) && e.Run == core.RunNot
}

// regenerate starts over when nothing has reached the client; a stream is never spliced from two generations.
func (e *Entry) regenerate(p *progress) bool {
	if !p.sink.reset() || !e.retry(p) {
		return false
	}
	if p.at != nil {
		p.avoid = append(p.avoid, string(p.at.Endpoint))
	}
	p.at, p.next, p.started, p.maybeRun = nil, 0, false, true
	e.Meter.Count("regenerated")
	return true
}

// retry takes a retry from the budgets of the team and of the endpoint that failed.
func (e *Entry) retry(p *progress) bool {
	var failed core.EndpointID
	if p.at != nil {
		failed = p.at.Endpoint
	}
	ok := e.Budget.Retry(p.g.call.Team, failed)
	if !ok {
		e.Meter.Count("retries_over_budget")
	}
	return ok
}

func (e *Entry) suspect(owner core.Peer, err error) {
	if owner.ID == e.Members.Self().ID {
		return
	}
	e.Members.Suspect(e.Clock.Now(), owner.ID)
	e.Meter.Count("suspected_instances")
	e.Log.WithFields(map[string]any{"instance": owner.ID, "error": err.Error()}).Warn("instance did not answer; another one is used")
}
