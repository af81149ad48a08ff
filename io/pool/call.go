package pool

import (
	"context"
	"errors"
	"time"

	"snipeshed/core"
)

// Admit waits until the policy gives the call an endpoint that takes new work, or refuses it.
func (p *Pool) Admit(ctx context.Context, c core.Call) (core.EndpointID, core.Runner, error) {
	for {
		ep, runner, err := p.admit(ctx, c)
		if !errors.Is(err, errNotAccepting) {
			return ep, runner, err
		}
		c.Admitted = true // it has waited its turn, so it is not refused for overload
	}
}

func (p *Pool) admit(ctx context.Context, c core.Call) (core.EndpointID, core.Runner, error) {
	ch := make(chan core.Action, 1)
	p.mu.Lock()
	p.waiting[c.ID] = ch
	p.apply(p.policy.Offer(p.Clock.Now(), c))
	p.mu.Unlock()
	select {
	case a := <-ch:
		return p.admitted(ctx, a)
	case <-ctx.Done():
	}
	p.mu.Lock()
	delete(p.waiting, c.ID)
	select {
	case a := <-ch:
		if a.Kind == core.ActionStart {
			p.apply(p.policy.Finish(p.Clock.Now(), c.ID, false))
		}
	default:
		p.apply(p.policy.Cancel(p.Clock.Now(), c.ID))
	}
	p.mu.Unlock()
	return "", nil, endedWaiting(ctx)
}

func endedWaiting(ctx context.Context) error {
	return &core.Error{
		Kind: core.KindDeadline, Message: "the call ended while it waited for an engine",
		Remedy: "allow more time or send less work", Run: core.RunNot, Cause: context.Cause(ctx),
	}
}

// errNotAccepting means that a check before a call found that its endpoint takes no new work.
var errNotAccepting = errors.New("the endpoint takes no new work")

func (p *Pool) admitted(ctx context.Context, a core.Action) (core.EndpointID, core.Runner, error) {
	if a.Kind == core.ActionRefuse {
		return "", nil, a.Err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.endpoints[a.Endpoint]
	if e == nil {
		p.apply(p.policy.Finish(p.Clock.Now(), a.ID, false))
		return "", nil, core.ErrNotSent
	}
	if !e.needsCheck(p.Clock.Now()) {
		return a.Endpoint, e.runner, nil
	}
	p.check(ctx, e)
	now := p.Clock.Now()
	if ctx.Err() == nil && p.endpoints[a.Endpoint] == e && e.accepting(now, p.listLeaving) {
		return a.Endpoint, e.runner, nil
	}
	p.setRunners(now)
	p.apply(p.policy.Finish(now, a.ID, false))
	if ctx.Err() != nil {
		return "", nil, endedWaiting(ctx)
	}
	return "", nil, errNotAccepting
}

// check polls the endpoint, once for all calls that need it; p.mu is held, but not during the poll.
func (p *Pool) check(ctx context.Context, e *endpoint) {
	if ch := e.checking; ch != nil {
		p.mu.Unlock()
		defer p.mu.Lock()
		select {
		case <-ch:
		case <-ctx.Done():
		}
		return
	}
	ch := make(chan struct{})
	e.checking, e.polled = ch, p.Clock.Now()
	p.bucket.Begin(e.polled)
	p.mu.Unlock()
	p.poll(p.ctx, e) // not ended by this call's end, since others wait for it
	p.mu.Lock()
	e.checking = nil
	close(ch)
}

// Adopt takes a call that already runs; it returns nil when the endpoint is not in the pool.
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
		p.policy.Cached(now, id, ev.CachedTokens)
	case ev.Preempted:
		p.policy.Preempted(now, id)
	case !ev.Done:
		p.policy.Token(now, id, n)
	}
}

// Finish ends a running call.
func (p *Pool) Finish(id core.RequestID, complete bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.apply(p.policy.Finish(p.Clock.Now(), id, complete))
}

// Answered notes that an endpoint took a call; leaving tells that it said so itself.
func (p *Pool) Answered(ep core.EndpointID, leaving bool) {
	if leaving {
		p.Failed(ep, true)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[ep]; e != nil {
		e.answered = p.Clock.Now()
	}
}

// Failed notes that an endpoint did not take a call; leaving tells that it said so itself.
func (p *Pool) Failed(ep core.EndpointID, leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.endpoints[ep]
	if e == nil {
		return
	}
	if leaving {
		e.refused = p.Clock.Now()
	} else {
		e.up = false
	}
	p.setRunners(p.Clock.Now())
}

// Drain refuses every waiting call as leaving, so that its entry takes it to another instance.
func (p *Pool) Drain() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.waiting {
		acts := p.policy.Cancel(p.Clock.Now(), id)
		e := Leaving()
		e.Cause = ErrDrained
		p.apply(append(acts, core.Action{Kind: core.ActionRefuse, ID: id, Err: e}))
	}
}

// ErrDrained is the cause of the refusal of a call that waited in the queue when its pool was drained.
var ErrDrained = errors.New("the queue is handed over")

// Leaving returns the error of an instance that is shutting down.
func Leaving() *core.Error {
	return &core.Error{
		Kind: core.KindLeaving, Message: "this instance is shutting down",
		Remedy: "send the request again; another instance will take it", Run: core.RunNot, RetryAfter: time.Second,
	}
}
