package pool

import (
	"context"
	"errors"
	"time"

	"snipeshed/core"
)

// Admit waits until the policy gives the call an endpoint or refuses it.
func (p *Pool) Admit(ctx context.Context, c core.Call) (core.EndpointID, core.Runner, error) {
	ch := make(chan core.Action, 1)
	p.mu.Lock()
	p.waiting[c.ID] = ch
	p.apply(p.policy.Offer(p.Clock.Now(), c))
	p.mu.Unlock()
	select {
	case a := <-ch:
		return p.admitted(a)
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
	return "", nil, &core.Error{
		Kind: core.KindDeadline, Message: "the call ended while it waited for an engine",
		Remedy: "allow more time or send less work", Run: core.RunNot, Cause: context.Cause(ctx),
	}
}

func (p *Pool) admitted(a core.Action) (core.EndpointID, core.Runner, error) {
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
	return a.Endpoint, e.runner, nil
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
