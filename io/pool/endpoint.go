package pool

import (
	"context"
	"time"

	"snipeshed/core"
	"snipeshed/io/driver"
)

// endpoint is what a pool knows of one model runner.
type endpoint struct {
	id      core.EndpointID
	address string
	runner  core.Runner
	wanted  core.RunnerOrder
	driver  *driver.Driver
	stop    context.CancelFunc

	load     core.RunnerLoad
	reported time.Time
	up       bool
	// answered is when the endpoint last took a call without saying that it leaves.
	answered time.Time
	// polled is when its load was last asked for.
	polled time.Time
	// told is the acceptance that the policy was told last.
	told bool
	// refused is when the endpoint last refused a call because it leaves.
	refused time.Time
}

// refusedFor is how long a refusal outweighs load reports, which lag behind it. After that a report decides, since
// an endpoint can stop leaving; one whose report lags longer refuses again.
const refusedFor = 3 * time.Second

// accepting reports whether new work may go to the endpoint; one that waits for its order goes on with its old version.
func (e *endpoint) accepting(now time.Time, listLeaving func(string) bool) bool {
	return e.up && now.Sub(e.refused) >= refusedFor && !e.load.Leaving && e.load.Model == e.wanted.Model &&
		!e.driver.Loading() && !listLeaving(e.address)
}

// skipPolls is the number of poll intervals for which an endpoint that takes calls is not polled. Its answers say
// at once that it leaves, and polls of 8 endpoints at each interval cost an instance 1.6 KB/s of its 2 KB/s.
const skipPolls = 5

// due reports whether the endpoint's load has to be asked for.
func (e *endpoint) due(now time.Time, interval time.Duration) bool {
	settled := e.up && e.load.Model == e.wanted.Model && e.load.OrderNumber == e.wanted.Number
	return !settled || now.Sub(e.answered) >= interval || now.Sub(e.polled) >= skipPolls*interval
}

// open adds an endpoint and starts its driver; p.mu is held.
func (p *Pool) open(t target) *endpoint {
	e := &endpoint{id: t.id, address: t.address, runner: p.newRunner(t.address)}
	opts := append([]driver.Option{driver.WithChanged(p.refresh)}, p.driverOpts...)
	e.driver = driver.New(p.Shared, t.id, e.runner, opts...)
	ctx, cancel := context.WithCancel(p.ctx)
	e.stop = cancel
	p.done.Go(func() { e.driver.Run(ctx) })
	p.endpoints[t.id] = e
	return e
}

// poll asks the endpoint for its load, which its driver compares with the wanted state.
func (p *Pool) poll(ctx context.Context, e *endpoint) {
	l, err := e.runner.Load(ctx)
	if ctx.Err() != nil {
		return
	}
	if err == nil {
		e.driver.Report(l)
	} else {
		e.driver.Unreachable()
	}
	p.mu.Lock()
	was := e.up
	e.up = err == nil
	if err == nil {
		e.load, e.reported = l, p.Clock.Now()
	}
	p.mu.Unlock()
	if was != (err == nil) {
		p.Log.WithFields(logFields(e, err)).Info("endpoint changed reachability")
	}
}

func logFields(e *endpoint, err error) map[string]any {
	f := map[string]any{"endpoint": e.id, "address": e.address, "up": err == nil}
	if err != nil {
		f["error"] = err.Error()
	}
	return f
}
