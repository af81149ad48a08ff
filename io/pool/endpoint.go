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
	// confirmed is when the load was asked for that its last report shows.
	confirmed time.Time
	// checking is closed at the end of a poll that calls wait for, and nil when there is none.
	checking chan struct{}
	// refuses tells that it refuses calls by itself when it leaves.
	refuses bool
	// ordered is when the wanted state last changed here.
	ordered time.Time
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

// Poll intervals between two polls of an endpoint that is in the wanted state; they are longer when the instance's
// byte budget for polls is used up. A poll is about 370 bytes, so that polls of 8 idle endpoints at each interval of
// 2 s cost an instance 1.5 KB/s of its 2 KB/s.
const (
	// idlePolls holds without calls: a poll only tells early what the first call would find out. An engine that
	// leaves refuses it, one that is gone does not take it, and the call goes elsewhere.
	idlePolls = 3
	// skipPolls holds while the endpoint takes calls: its answers may say that it leaves, and calls to one that does
	// not refuse them are preceded by a check.
	skipPolls = 5
)

// longestWait bounds how far the byte budget stretches the interval of an endpoint. 48 endpoints, three pools, cost
// 290 B/s at this interval.
const longestWait = time.Minute

// orderWatch is how long after a change of its wanted state an endpoint is polled at each interval: an owner that was
// paused may still send the order before, and an engine that ignores order numbers follows it.
const orderWatch = time.Minute

// settled reports whether the endpoint is up, stays and has the wanted state.
func (e *endpoint) settled(now time.Time) bool {
	return e.up && !e.load.Leaving && now.Sub(e.refused) >= refusedFor &&
		e.load.Model == e.wanted.Model && e.load.OrderNumber == e.wanted.Number
}

// overdue returns the time since the last poll of a settled endpoint as a multiple of its interval.
func (e *endpoint) overdue(now time.Time, interval time.Duration) float64 {
	wanted := idlePolls * interval
	switch {
	case now.Sub(e.answered) < interval:
		wanted = skipPolls * interval
	case now.Sub(e.ordered) < orderWatch:
		wanted = interval
	}
	return float64(now.Sub(e.polled)) / float64(wanted)
}

// maxReportAge is the age of the last report up to which a call starts without a check. It leaves half a
// second for the call to reach the endpoint, so that no new work arrives 3 s after its report began to say that it
// leaves. A first packet that is lost is sent again after 1 s, when the dial has timed out.
const maxReportAge = 2500 * time.Millisecond

// needsCheck reports whether the endpoint has to be asked before a call starts, because only its report would tell that
// it leaves.
func (e *endpoint) needsCheck(now time.Time) bool {
	return !e.refuses && now.Sub(e.confirmed) > maxReportAge
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

// poll asks the endpoint for its load, which its driver compares with the wanted state; the byte budget was asked before.
func (p *Pool) poll(ctx context.Context, e *endpoint) {
	asked := p.Clock.Now()
	l, err := e.runner.Load(ctx)
	p.bucket.End(p.Clock.Now())
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
		e.load, e.reported, e.confirmed = l, p.Clock.Now(), asked
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
