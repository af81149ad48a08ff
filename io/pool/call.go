package pool

import (
	"context"
	"errors"
	"time"

	"snipeshed/core"
)

// Admit waits until the policy assigns the call to an endpoint that accepts new work, or refuses it.
func (p *Pool) Admit(ctx context.Context, c core.Call) (core.EndpointID, core.Runner, error) {
	for {
		ep, runner, err := p.admitOnce(ctx, c)
		if !errors.Is(err, errNotAccepting) {
			return ep, runner, err
		}
		c.PreviouslyQueued = true // it has already waited in the queue, so it is not refused for overload
	}
}

func (p *Pool) admitOnce(ctx context.Context, c core.Call) (core.EndpointID, core.Runner, error) {
	ch := make(chan core.Action, 1)
	p.mu.Lock()
	p.waiting[c.ID] = ch
	p.applyActions(p.policy.Offer(p.Clock.Now(), c))
	p.mu.Unlock()
	select {
	case a := <-ch:
		return p.startAdmitted(ctx, a)
	case <-ctx.Done():
	}
	p.mu.Lock()
	delete(p.waiting, c.ID)
	select {
	case a := <-ch:
		if a.Kind == core.ActionStart {
			p.applyActions(p.policy.Finish(p.Clock.Now(), c.ID, false))
		}
	default:
		p.applyActions(p.policy.Cancel(p.Clock.Now(), c.ID))
	}
	p.mu.Unlock()
	return "", nil, waitEndedError(ctx)
}

// waitEndedError returns the error for a call whose context ended while it waited for an endpoint.
func waitEndedError(ctx context.Context) error {
	return &core.Error{
		Kind: core.KindDeadline, Message: "the call ended while it waited for an engine",
		Remedy: "allow more time or send less work", Execution: core.NotExecuted, Cause: context.Cause(ctx),
	}
}

// errNotAccepting means that an endpoint was polled before a call and accepts no new work.
var errNotAccepting = errors.New("the endpoint accepts no new work")

// startAdmitted returns the endpoint that the policy assigned to a call, after polling it if it needs a check.
func (p *Pool) startAdmitted(ctx context.Context, a core.Action) (core.EndpointID, core.Runner, error) {
	if a.Kind == core.ActionRefuse {
		return "", nil, a.Err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.endpoints[a.Endpoint]
	if e == nil {
		p.applyActions(p.policy.Finish(p.Clock.Now(), a.ID, false))
		return "", nil, core.ErrNotSent
	}
	if !e.needsCheck(p.Clock.Now()) {
		return a.Endpoint, e.runner, nil
	}
	p.checkEndpoint(ctx, e)
	now := p.Clock.Now()
	if ctx.Err() == nil && p.endpoints[a.Endpoint] == e && e.accepting(now, p.leavingByList) {
		return a.Endpoint, e.runner, nil
	}
	p.setRunners(now)
	p.applyActions(p.policy.Finish(now, a.ID, false))
	if ctx.Err() != nil {
		return "", nil, waitEndedError(ctx)
	}
	return "", nil, errNotAccepting
}

// checkEndpoint polls the endpoint before a call starts; concurrent calls share one poll. The caller holds p.mu, which is
// released during the poll.
func (p *Pool) checkEndpoint(ctx context.Context, e *endpoint) {
	if ch := e.checkDone; ch != nil {
		p.mu.Unlock()
		defer p.mu.Lock()
		select {
		case <-ch:
		case <-ctx.Done():
		}
		return
	}
	ch := make(chan struct{})
	e.checkDone, e.polledAt = ch, p.Clock.Now()
	p.pollBudget.BeginUrgent(e.polledAt)
	p.mu.Unlock()
	p.pollEndpoint(p.ctx, e) // not with the call's ctx, because other calls may wait for the same poll
	p.mu.Lock()
	e.checkDone = nil
	close(ch)
}

// Adopt registers a call that already runs at an endpoint; it returns nil if the endpoint is not in the pool.
func (p *Pool) Adopt(c core.Call, ep core.EndpointID, generated core.Tokens) core.Runner {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.endpoints[ep]
	if e == nil {
		return nil
	}
	p.policy.Adopt(p.Clock.Now(), c, ep, generated)
	return e.runner
}

// Observe passes an event of a running call to the policy; n is the number of tokens generated so far.
func (p *Pool) Observe(id core.RequestID, ev core.Event, n core.Tokens) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	switch {
	case ev.Accepted:
	case ev.GenerationID != "":
		p.policy.RecordCached(now, id, ev.CachedTokens)
	case ev.Preempted:
		p.policy.RecordPreemption(now, id)
	case !ev.Done:
		p.policy.RecordTokens(now, id, n)
	}
}

// Finish reports the end of a running call to the policy.
func (p *Pool) Finish(id core.RequestID, complete bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyActions(p.policy.Finish(p.Clock.Now(), id, complete))
}

// RecordAnswer records that an endpoint took a call; leaving reports whether its answer says that it is leaving.
func (p *Pool) RecordAnswer(ep core.EndpointID, leaving bool) {
	if leaving {
		p.RecordFailure(ep, true)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[ep]; e != nil {
		e.answeredAt = p.Clock.Now()
	}
}

// RecordFailure records that an endpoint did not take a call; leaving reports whether it refused the call for that reason.
func (p *Pool) RecordFailure(ep core.EndpointID, leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.endpoints[ep]
	if e == nil {
		return
	}
	if leaving {
		e.refusedAt = p.Clock.Now()
	} else {
		e.reachable = false
	}
	p.setRunners(p.Clock.Now())
}

// Drain refuses every waiting call with KindLeaving, so that its entry sends it to another instance.
func (p *Pool) Drain() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.waiting {
		acts := p.policy.Cancel(p.Clock.Now(), id)
		e := LeavingError()
		e.Cause = ErrDrained
		p.applyActions(append(acts, core.Action{Kind: core.ActionRefuse, ID: id, Err: e}))
	}
}

// ErrDrained is the cause of the error of a call that waited in the queue when its pool was drained.
var ErrDrained = errors.New("the queue of the pool was drained")

// LeavingError returns the error for a call to an instance that is shutting down.
func LeavingError() *core.Error {
	return &core.Error{
		Kind: core.KindLeaving, Message: "this instance is shutting down",
		Remedy: "send the request again; another instance will take it", Execution: core.NotExecuted, RetryAfter: time.Second,
	}
}
