package pool

import (
	"context"
	"time"

	"snipeshed/core"
	"snipeshed/io/driver"
)

// endpoint is the state that a pool keeps of one model runner.
type endpoint struct {
	id         core.EndpointID
	address    string
	runner     core.Runner
	wanted     core.RunnerOrder
	driver     *driver.Reconciler
	stopDriver context.CancelFunc

	load core.RunnerLoad
	// reportedAt is when the last load report arrived.
	reportedAt time.Time
	reachable  bool
	// answeredAt is when the endpoint last took a call and did not report in its answer that it is leaving.
	answeredAt time.Time
	// polledAt is when the last poll of its load was sent.
	polledAt time.Time
	// reportRequestedAt is when the poll that returned the last load report was sent, so the report is at least as recent.
	reportRequestedAt time.Time
	// checkDone is closed at the end of a poll that calls wait for; it is nil if there is none.
	checkDone chan struct{}
	// refusesWhenLeaving reports whether the engine refuses new calls by itself while it is leaving.
	refusesWhenLeaving bool
	// wantedChangedAt is when this pool last got a changed wanted state.
	wantedChangedAt time.Time
	// acceptingInPolicy is the value of Accepting that was last passed to the policy.
	acceptingInPolicy bool
	// refusedAt is when the endpoint last refused a call because it was leaving.
	refusedAt time.Time
}

// refusalValidity is how long a refusal takes precedence over load reports, which lag behind it. After that the reports
// count again, because an endpoint can return to service; if its reports lag longer, it refuses the next call as well.
const refusalValidity = 3 * time.Second

// accepting reports whether new work may go to the endpoint. An endpoint whose order is still pending serves its old version.
func (e *endpoint) accepting(now time.Time, leavingByList func(string) bool) bool {
	return e.reachable && now.Sub(e.refusedAt) >= refusalValidity && !e.load.Leaving && e.load.Model == e.wanted.Model &&
		!e.driver.Loading() && !leavingByList(e.address)
}

// Numbers of poll intervals from one poll of a converged endpoint to the next. The time is extended when the instance's byte
// budget for polls is used up: a poll takes about 370 bytes, so polling 8 idle endpoints at each interval of 2 s would take
// 1.5 KB/s of the instance's 2 KB/s for control traffic.
const (
	// idleIntervals applies while the endpoint takes no calls. A poll then only detects earlier what the next call would: a
	// leaving engine refuses the call, a failed one does not take it, and the call goes to another endpoint.
	idleIntervals = 3
	// busyIntervals applies while the endpoint takes calls: their answers report that it is leaving, and an endpoint that
	// would not refuse calls while it is leaving is checked before them.
	busyIntervals = 5
)

// maxPollInterval bounds how far the byte budget extends the interval of an endpoint. Polls of 48 endpoints (three pools)
// take 290 B/s at this interval.
const maxPollInterval = time.Minute

// quickPollPeriod is how long an endpoint is polled at each interval after its wanted state changed: a previous owner that
// was paused may still send an older order, and an engine that ignores order numbers applies it.
const quickPollPeriod = time.Minute

// converged reports whether the endpoint is in its wanted state, reachable and not leaving.
func (e *endpoint) converged(now time.Time) bool {
	return e.reachable && !e.load.Leaving && now.Sub(e.refusedAt) >= refusalValidity &&
		e.load.Model == e.wanted.Model && e.load.OrderNumber == e.wanted.Number
}

// intervalsSincePoll returns the time since the last poll of a converged endpoint, divided by the time that is to pass between
// two of its polls.
func (e *endpoint) intervalsSincePoll(now time.Time, interval time.Duration) float64 {
	pollEvery := idleIntervals * interval
	switch {
	case now.Sub(e.answeredAt) < interval:
		pollEvery = busyIntervals * interval
	case now.Sub(e.wantedChangedAt) < quickPollPeriod:
		pollEvery = interval
	}
	return float64(now.Sub(e.polledAt)) / float64(pollEvery)
}

// maxReportAge is the greatest age of the last load report at which a call starts without a check. No new work may arrive
// more than 3 s after an endpoint's report began to show that it is leaving, so half a second is left for the call to reach
// it. A lost first packet is sent again only after 1 s, when the dial has timed out.
const maxReportAge = 2500 * time.Millisecond

// needsCheck reports whether the endpoint must be polled before a call starts: it does not refuse calls while it is leaving,
// so only a load report shows that, and the last one is too old.
func (e *endpoint) needsCheck(now time.Time) bool {
	return !e.refusesWhenLeaving && now.Sub(e.reportRequestedAt) > maxReportAge
}

// openEndpoint adds an endpoint and starts its driver; the caller holds p.mu.
func (p *Pool) openEndpoint(t target) *endpoint {
	e := &endpoint{id: t.id, address: t.address, runner: p.newRunner(t.address)}
	opts := append([]driver.Option{driver.WithOnChange(p.updateRunners)}, p.driverOpts...)
	e.driver = driver.New(p.Common, t.id, e.runner, opts...)
	ctx, cancel := context.WithCancel(p.ctx)
	e.stopDriver = cancel
	p.background.Go(func() { p.Supervise(ctx, "the orders to an endpoint", func() { e.driver.Run(ctx) }) })
	p.endpoints[t.id] = e
	return e
}

// pollEndpoint requests the endpoint's load, which its driver compares with the wanted state. The caller has already
// charged the poll to the byte budget.
func (p *Pool) pollEndpoint(ctx context.Context, e *endpoint) {
	asked := p.Clock.Now()
	l, err := core.RunnerLoad{}, core.ErrPanicked
	p.Protect("reading an endpoint's report", func() { l, err = e.runner.Load(ctx) })
	p.pollBudget.EndPoll(p.Clock.Now())
	if ctx.Err() != nil {
		return
	}
	if err == nil {
		e.driver.RecordReport(l)
	} else {
		e.driver.MarkUnreachable()
	}
	p.mu.Lock()
	wasReachable := e.reachable
	e.reachable = err == nil
	if err == nil {
		e.load, e.reportedAt, e.reportRequestedAt = l, p.Clock.Now(), asked
	}
	p.mu.Unlock()
	if wasReachable != (err == nil) {
		p.Log.WithFields(reachabilityFields(e, err)).Info("endpoint changed reachability")
	}
}

func reachabilityFields(e *endpoint, err error) map[string]any {
	f := map[string]any{"endpoint": e.id, "address": e.address, "up": err == nil}
	if err != nil {
		f["error"] = err.Error()
	}
	return f
}
