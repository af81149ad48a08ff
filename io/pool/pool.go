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

// Pool admits calls to the endpoints of one pool.
type Pool struct {
	core.Shared

	id          core.PoolID
	pollEvery   time.Duration
	listLeaving func(address string) bool
	newRunner   func(address string) core.Runner
	driverOpts  []driver.Option
	bucket      *bucket.Bucket

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

// WithBucket sets the bytes for polls, which the pools of an instance share.
func WithBucket(b *bucket.Bucket) Option { return func(p *Pool) { p.bucket = b } }

const defaultPollInterval = 2 * time.Second

// Target describes an endpoint of the pool as the tickets want it.
type target struct {
	id      core.EndpointID
	address string
	order   core.RunnerOrder
	checks  bool
	refuses bool
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
		bucket:      bucket.New(),
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
	p.bucket.Round(p.id)
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
		if e.ordered.IsZero() || e.wanted.Number != t.order.Number {
			e.ordered = now
		}
		e.wanted, e.refuses = t.order, t.refuses
		e.driver.Want(t.order, t.checks)
	}
	p.apply(p.policy.SetRules(now, rules(cfg)))
	p.setRunners(now)
}

func newTarget(cfg *core.Config, id core.EndpointID) target {
	ep := cfg.Endpoints[id]
	w := ep.GetWanted()
	return target{id: id, address: ep.GetAddress(), checks: ep.GetChecksFencing(), refuses: ep.GetRefusesWhenLeaving(), order: core.RunnerOrder{
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
			TokenGapTarget:   time.Duration(rank.GetTokenGapTargetMs()) * time.Millisecond,
		})
	}
	for name, team := range cfg.Teams {
		r.TeamWeights[name] = max(team.GetWeight(), 1)
	}
	return r
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
	return core.RunnerInfo{
		ID: e.id, KVCapacity: e.load.KVCapacity, Accepting: e.accepting(p.Clock.Now(), p.listLeaving),
		Load: e.load, Reported: e.reported,
	}
}
