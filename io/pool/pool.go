package pool

import (
	"context"
	"sync"
	"time"

	"snipeshed/core"
	"snipeshed/core/bucket"
	"snipeshed/core/order"
	"snipeshed/io/driver"
)

// Pool schedules calls on the endpoints of one pool.
type Pool struct {
	core.Common

	id            core.PoolID
	pollInterval  time.Duration
	leavingByList func(address string) bool
	newRunner     func(address string) core.Runner
	driverOpts    []driver.Option
	pollBudget    *bucket.Bucket

	mu        sync.Mutex
	policy    core.Policy
	waiting   map[core.RequestID]chan core.Action
	endpoints map[core.EndpointID]*endpoint

	ctx        context.Context
	cancel     context.CancelFunc
	pollNow    chan struct{}
	background sync.WaitGroup
}

// Option changes a Pool.
type Option func(*Pool)

// WithPollInterval sets the base interval at which the endpoints' load is polled.
func WithPollInterval(d time.Duration) Option { return func(p *Pool) { p.pollInterval = d } }

// WithLeavingByList sets the function that reports whether the instance list marks the endpoint at an address as leaving.
func WithLeavingByList(fn func(address string) bool) Option {
	return func(p *Pool) { p.leavingByList = fn }
}

// WithDriver passes options to the drivers that send orders to the endpoints.
func WithDriver(opts ...driver.Option) Option {
	return func(p *Pool) { p.driverOpts = append(p.driverOpts, opts...) }
}

// WithPollBudget sets the byte budget for polls, which all pools of an instance share.
func WithPollBudget(b *bucket.Bucket) Option { return func(p *Pool) { p.pollBudget = b } }

const defaultPollInterval = 2 * time.Second

// target is the configuration of an endpoint; order describes its wanted state.
type target struct {
	id                 core.EndpointID
	address            string
	order              core.RunnerOrder
	checksFencing      bool
	refusesWhenLeaving bool
}

// New returns a pool without endpoints and starts its polling.
func New(shared core.Common, id core.PoolID, policy core.Policy, newRunner func(address string) core.Runner, opts ...Option) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Pool{
		Common: shared, id: id, policy: policy, newRunner: newRunner, ctx: ctx, cancel: cancel,
		pollNow:       make(chan struct{}, 1),
		pollInterval:  defaultPollInterval,
		leavingByList: func(string) bool { return false },
		waiting:       map[core.RequestID]chan core.Action{},
		endpoints:     map[core.EndpointID]*endpoint{},
		pollBudget:    bucket.New(),
	}
	for _, o := range opts {
		o(p)
	}
	p.background.Go(func() { p.Supervise(ctx, "polling endpoints", func() { p.pollLoop(ctx) }) })
	p.background.Go(func() { p.Supervise(ctx, "the ticks of the policy", func() { p.tickLoop(ctx) }) })
	return p
}

// Close stops polling and refuses the waiting calls.
func (p *Pool) Close() {
	p.Drain()
	p.cancel()
	p.background.Wait()
	// Drops this pool's overdue poll from the budget, which would otherwise block the polls of other pools.
	p.pollBudget.StartRound(p.id)
}

// Configure sets the policy rules and the endpoints from a configuration.
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
			e.stopDriver()
			delete(p.endpoints, id)
		}
	}
	for id, t := range targets {
		e := p.endpoints[id]
		if e == nil {
			e = p.openEndpoint(t)
			p.pollSoon()
		}
		if e.wantedChangedAt.IsZero() || e.wanted.Number != t.order.Number {
			e.wantedChangedAt = now
		}
		e.wanted, e.refusesWhenLeaving = t.order, t.refusesWhenLeaving
		e.driver.SetWanted(t.order, t.checksFencing)
	}
	p.applyActions(p.policy.SetRules(now, policyRules(cfg)))
	p.setRunners(now)
}

func newTarget(cfg *core.Config, id core.EndpointID) target {
	ep := cfg.Endpoints[id]
	w := ep.GetWanted()
	return target{id: id, address: ep.GetAddress(), checksFencing: ep.GetChecksFencing(), refusesWhenLeaving: ep.GetRefusesWhenLeaving(), order: core.RunnerOrder{
		Number: cfg.SetBy["endpoint/"+string(id)], Model: core.ModelName(w.GetModel()),
		Version: w.GetVersion(), Adapters: w.GetAdapters(), Role: w.GetRole(),
	}}
}

const defaultQueueLimit = 256 // calls of one rank in one pool

func policyRules(cfg *core.Config) core.PolicyRules {
	r := core.PolicyRules{TeamWeights: map[core.TeamName]int64{}}
	for name, rank := range cfg.Ranks {
		limit := int(rank.GetQueueLimit())
		if limit == 0 {
			limit = defaultQueueLimit
		}
		r.Ranks = append(r.Ranks, core.RankRule{
			Name: name, Priority: rank.GetPriority(), FloorPercent: rank.GetFloorPercent(), QueueLimit: limit,
			FirstTokenTarget: time.Duration(rank.GetFirstTokenTargetMs()) * time.Millisecond,
			TokenGapTarget:   time.Duration(rank.GetTokenGapTargetMs()) * time.Millisecond,
		})
	}
	for name, team := range cfg.Teams {
		r.TeamWeights[name] = max(team.GetWeight(), 1)
	}
	return r
}

// Load returns the load of the pool as its policy reports it.
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
		out[id] = p.runnerInfo(e)
	}
	return out
}

// OrderStates returns for each endpoint the state of the order that brings it to its wanted state.
func (p *Pool) OrderStates() map[core.EndpointID]order.State {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[core.EndpointID]order.State, len(p.endpoints))
	for id, e := range p.endpoints {
		out[id] = e.driver.State()
	}
	return out
}

// applyActions passes the policy's actions to the waiting calls; the caller holds p.mu.
func (p *Pool) applyActions(acts []core.Action) {
	for _, a := range acts {
		if ch := p.waiting[a.ID]; ch != nil {
			delete(p.waiting, a.ID)
			ch <- a
			continue
		}
		if a.Kind == core.ActionStart {
			// The call has been canceled in the meantime.
			p.applyActions(p.policy.Finish(p.Clock.Now(), a.ID, false))
		}
	}
}

// setRunners passes the current state of all endpoints to the policy; the caller holds p.mu.
func (p *Pool) setRunners(now time.Time) {
	infos := make([]core.RunnerInfo, 0, len(p.endpoints))
	for _, e := range p.endpoints {
		info := p.runnerInfo(e)
		e.acceptingInPolicy = info.Accepting
		infos = append(infos, info)
	}
	p.applyActions(p.policy.SetRunners(now, infos))
}

func (p *Pool) runnerInfo(e *endpoint) core.RunnerInfo {
	return core.RunnerInfo{
		ID: e.id, KVCapacity: e.load.KVCapacity, Accepting: e.accepting(p.Clock.Now(), p.leavingByList),
		Load: e.load, ReportedAt: e.reportedAt,
	}
}
