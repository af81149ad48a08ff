package pool

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"snipeshed/core"
	"snipeshed/core/order"
	"snipeshed/io/driver"
)

// Pool admits calls to the endpoints of one pool.
type Pool struct {
	core.Shared

	id          core.PoolID
	pollEvery   time.Duration
	listLeaving func(address string) bool
	newRunner   func(address string) core.Runner
	driverOpts  []driver.Option

	mu        sync.Mutex
	policy    core.Policy
	waiting   map[core.RequestID]chan core.Action
	endpoints map[core.EndpointID]*endpoint

	ctx     context.Context
	cancel  context.CancelFunc
	pollNow chan struct{}
	done    sync.WaitGroup
}

// Option changes a Pool.
type Option func(*Pool)

// WithPollInterval sets how often the endpoints' load is polled.
func WithPollInterval(d time.Duration) Option { return func(p *Pool) { p.pollEvery = d } }

// WithListLeaving sets how the instance list's word on an endpoint is found.
func WithListLeaving(fn func(address string) bool) Option {
	return func(p *Pool) { p.listLeaving = fn }
}

// WithDriver passes options to the drivers that order the endpoints.
func WithDriver(opts ...driver.Option) Option {
	return func(p *Pool) { p.driverOpts = append(p.driverOpts, opts...) }
}

const defaultPollInterval = 2 * time.Second

// Target describes an endpoint of the pool as the tickets want it.
type target struct {
	id      core.EndpointID
	address string
	order   core.RunnerOrder
	checks  bool
}

// New returns a pool without endpoints and starts to poll.
func New(shared core.Shared, id core.PoolID, policy core.Policy, newRunner func(address string) core.Runner, opts ...Option) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Pool{
		Shared: shared, id: id, policy: policy, newRunner: newRunner, ctx: ctx, cancel: cancel,
		pollNow:     make(chan struct{}, 1),
		pollEvery:   defaultPollInterval,
		listLeaving: func(string) bool { return false },
		waiting:     map[core.RequestID]chan core.Action{},
		endpoints:   map[core.EndpointID]*endpoint{},
	}
	for _, o := range opts {
		o(p)
	}
	p.done.Go(func() { p.pollLoop(ctx) })
	p.done.Go(func() { p.tickLoop(ctx) })
	return p
}

// Close stops polling and refuses what waits.
func (p *Pool) Close() {
	p.Drain()
	p.cancel()
	p.done.Wait()
}

// Configure sets rules and endpoints from a configuration.
func (p *Pool) Configure(cfg *core.Config, ids []core.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	targets := map[core.EndpointID]target{}
	for _, id := range ids {
		targets[id] = newTarget(cfg, id)
	}
	for id, e := range p.endpoints {
		if t, ok := targets[id]; !ok || t.address != e.address {
			e.stop()
			delete(p.endpoints, id)
		}
	}
	for id, t := range targets {
		e := p.endpoints[id]
		if e == nil {
			e = p.open(t)
			p.pollSoon()
		}
		e.wanted = t.order
		e.driver.Want(t.order, t.checks)
	}
	p.apply(p.policy.SetRules(now, rules(cfg)))
	p.setRunners(now)
}

func newTarget(cfg *core.Config, id core.EndpointID) target {
	ep := cfg.Endpoints[id]
	w := ep.GetWanted()
	return target{id: id, address: ep.GetAddress(), checks: ep.GetChecksFencing(), order: core.RunnerOrder{
		Number: cfg.SetBy["endpoint/"+string(id)], Model: core.ModelName(w.GetModel()),
		Version: w.GetVersion(), Adapters: w.GetAdapters(), Role: w.GetRole(),
	}}
}

const defaultQueueLimit = 256 // calls of one rank in one pool

func rules(cfg *core.Config) core.PolicyRules {
	r := core.PolicyRules{TeamWeights: map[core.TeamName]int64{}}
	for name, rank := range cfg.Ranks {
		limit := int(rank.GetQueueLimit())
		if limit == 0 {
			limit = defaultQueueLimit
		}
		r.Ranks = append(r.Ranks, core.RankRule{
			Name: name, Priority: rank.GetPriority(), FloorPercent: rank.GetFloorPercent(), QueueLimit: limit,
			FirstTokenTarget: time.Duration(rank.GetFirstTokenTargetMs()) * time.Millisecond,
		})
	}
	for name, team := range cfg.Teams {
		r.TeamWeights[name] = max(team.GetWeight(), 1)
	}
	return r
}

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

// Load returns the pool's load.
func (p *Pool) Load() core.PoolLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.policy.Load(p.Clock.Now())
}

// Reports returns the endpoints' last reports and whether they accept work.
func (p *Pool) Reports() map[core.EndpointID]core.RunnerInfo {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[core.EndpointID]core.RunnerInfo, len(p.endpoints))
	for id, e := range p.endpoints {
		out[id] = p.info(e)
	}
	return out
}

// Orders returns how far each endpoint is from the state that the tickets want.
func (p *Pool) Orders() map[core.EndpointID]order.State {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[core.EndpointID]order.State, len(p.endpoints))
	for id, e := range p.endpoints {
		out[id] = e.driver.State()
	}
	return out
}

// Drain refuses every waiting call as leaving, so that its entry takes it to another instance.
func (p *Pool) Drain() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.waiting {
		acts := p.policy.Cancel(p.Clock.Now(), id)
		p.apply(append(acts, core.Action{Kind: core.ActionRefuse, ID: id, Err: Leaving()}))
	}
}

// Leaving returns the error of an instance that is shutting down.
func Leaving() *core.Error {
	return &core.Error{
		Kind: core.KindLeaving, Message: "this instance is shutting down",
		Remedy: "send the request again; another instance will take it", Run: core.RunNot, RetryAfter: time.Second,
	}
}

// apply hands actions to the calls that wait for them; p.mu is held.
func (p *Pool) apply(acts []core.Action) {
	for _, a := range acts {
		if ch := p.waiting[a.ID]; ch != nil {
			delete(p.waiting, a.ID)
			ch <- a
			continue
		}
		if a.Kind == core.ActionStart {
			// The call was withdrawn in the meantime.
			p.apply(p.policy.Finish(p.Clock.Now(), a.ID, false))
		}
	}
}

func (p *Pool) setRunners(now time.Time) {
	infos := make([]core.RunnerInfo, 0, len(p.endpoints))
	for _, e := range p.endpoints {
		info := p.info(e)
		e.told = info.Accepting
		infos = append(infos, info)
	}
	p.apply(p.policy.SetRunners(now, infos))
}

func (p *Pool) info(e *endpoint) core.RunnerInfo {
	return core.RunnerInfo{ID: e.id, KVCapacity: e.load.KVCapacity, Accepting: e.accepting(p.Clock.Now(), p.listLeaving), Load: e.load}
}

func (p *Pool) pollLoop(ctx context.Context) {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-p.pollNow:
		}
		p.pollAll(ctx)
		t.Reset(p.pollEvery)
	}
}

// pollSoon polls before the next interval, because a new endpoint gets no order before its first report.
func (p *Pool) pollSoon() {
	select {
	case p.pollNow <- struct{}{}:
	default:
	}
}

func (p *Pool) pollAll(ctx context.Context) {
	p.mu.Lock()
	polled := make([]*endpoint, 0, len(p.endpoints))
	now := p.Clock.Now()
	for _, e := range p.endpoints {
		if e.due(now, p.pollEvery) {
			e.polled = now
			polled = append(polled, e)
		}
	}
	p.mu.Unlock()
	var g errgroup.Group
	for _, e := range polled {
		g.Go(func() error {
			p.poll(ctx, e)
			p.refresh()
			return nil
		})
	}
	_ = g.Wait() // no task returns an error
}

// refresh tells the policy of new reports at once, so that one silent endpoint does not delay the others.
func (p *Pool) refresh() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setRunners(p.Clock.Now())
}

func (p *Pool) tickLoop(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		p.mu.Lock()
		now := p.Clock.Now()
		if p.acceptanceChanged(now) {
			p.setRunners(now)
		}
		p.apply(p.policy.Tick(now))
		p.mu.Unlock()
	}
}

// acceptanceChanged reports whether an endpoint's acceptance is not what the policy was told last. The instance list
// and the end of a refusal change it without a report.
func (p *Pool) acceptanceChanged(now time.Time) bool {
	for _, e := range p.endpoints {
		if e.told != e.accepting(now, p.listLeaving) {
			return true
		}
	}
	return false
}
