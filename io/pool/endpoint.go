package pool

import (
	"context"
	"errors"
	"time"

	"snipeshed/core"
)

// endpoint is what a pool knows of one model runner.
type endpoint struct {
	id      core.EndpointID
	address string
	runner  core.Runner
	wanted  core.RunnerOrder

	load core.RunnerLoad
	up   bool
	// refused is when the endpoint last refused a call because it leaves.
	refused time.Time
}

// refusedFor is how long a refusal outweighs load reports, which lag behind it. After that a report decides, since
// an endpoint can stop leaving; one whose report lags longer refuses again.
const refusedFor = 3 * time.Second

// accepting reports whether new work may go to the endpoint.
func (e *endpoint) accepting(now time.Time, listLeaving func(string) bool) bool {
	return e.up && now.Sub(e.refused) >= refusedFor && !e.load.Leaving && e.load.Model == e.wanted.Model && !listLeaving(e.address)
}

// ordered reports whether the endpoint has the state that the tickets want.
func (e *endpoint) ordered(l core.RunnerLoad) bool {
	w := e.wanted
	if l.Model != w.Model || l.Version != w.Version || l.Role != w.Role || len(l.Adapters) != len(w.Adapters) {
		return false
	}
	for i, a := range w.Adapters {
		if l.Adapters[i] != a {
			return false
		}
	}
	return true
}

// poll asks the endpoint for its load and repeats its order until the endpoint reports the wanted state.
func (p *Pool) poll(ctx context.Context, e *endpoint, wanted core.RunnerOrder) {
	l, err := e.runner.Load(ctx)
	if ctx.Err() != nil {
		return
	}
	p.mu.Lock()
	was := e.up
	e.up = err == nil
	if err == nil {
		e.load = l
	}
	behind := err == nil && !e.ordered(l)
	p.mu.Unlock()
	if was != (err == nil) {
		p.Log.WithFields(logFields(e, err)).Info("endpoint changed reachability")
	}
	if behind {
		p.order(ctx, e, wanted)
	}
}

func (p *Pool) order(ctx context.Context, e *endpoint, wanted core.RunnerOrder) {
	err := e.runner.Order(ctx, wanted)
	switch {
	case err == nil:
		p.Log.WithFields(logFields(e, nil)).WithField("number", wanted.Number).Info("order accepted by endpoint")
	case errors.Is(err, core.ErrOldOrder):
		p.Log.WithFields(logFields(e, err)).Warn("endpoint has a newer order; waiting for its ticket")
	default:
		p.Log.WithFields(logFields(e, err)).Warn("order failed; it is repeated at the next poll")
	}
}

func logFields(e *endpoint, err error) map[string]any {
	f := map[string]any{"endpoint": e.id, "address": e.address, "up": e.up}
	if err != nil {
		f["error"] = err.Error()
	}
	return f
}

const tickInterval = 50 * time.Millisecond
