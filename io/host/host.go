package host

import (
	"context"
	"errors"
	"sync"
	"time"

	"snipeshed/conf"
	"snipeshed/core"
	"snipeshed/core/bucket"
	"snipeshed/core/order"
	"snipeshed/core/quota"
	"snipeshed/core/shard"
	"snipeshed/io/driver"
	"snipeshed/io/engine"
	"snipeshed/io/link"
	"snipeshed/io/pool"
)

// Host manages the pools of this instance and runs their calls.
type Host struct {
	core.Common

	cfg        *conf.Settings
	config     core.ConfigSource
	members    core.Members
	counters   Counters
	newPolicy  func() core.Policy
	newRunner  func(address string) core.Runner
	loadSlots  core.WeightSlots
	prompts    *quota.Quota
	pollBudget *bucket.Bucket

	mu        sync.Mutex
	current   *core.Config
	partition *shard.Partition
	pools     map[core.PoolID]*pool.Pool
	cancels   map[core.RequestID]context.CancelCauseFunc
	draining  bool

	activeCalls    sync.WaitGroup
	orphanWatchers sync.WaitGroup
	cancelAll      context.CancelFunc
	lifetime       context.Context
}

// Counters counts events for the operators' metrics.
type Counters interface {
	// Count increments a named counter.
	Count(name string)
}

// Option changes a Host.
type Option func(*Host)

// WithCounters sets where events are counted.
func WithCounters(c Counters) Option { return func(h *Host) { h.counters = c } }

// WithRunner sets the function that creates the client of the endpoint at an address.
func WithRunner(fn func(address string) core.Runner) Option {
	return func(h *Host) { h.newRunner = fn }
}

// WithLoadSlots sets the store of the slots that limit concurrent model loads.
func WithLoadSlots(s core.WeightSlots) Option { return func(h *Host) { h.loadSlots = s } }

type noCounters struct{}

// Count does nothing.
func (noCounters) Count(string) {}

// New returns a Host; newPolicy creates the scheduling policy of each pool.
func New(shared core.Common, cfg *conf.Settings, config core.ConfigSource, members core.Members, newPolicy func() core.Policy, opts ...Option) *Host {
	ctx, cancel := context.WithCancel(context.Background())
	h := &Host{
		Common: shared, cfg: cfg, config: config, members: members, newPolicy: newPolicy, counters: noCounters{},
		pools:    map[core.PoolID]*pool.Pool{},
		cancels:  map[core.RequestID]context.CancelCauseFunc{},
		prompts:  quota.New(cfg.GetOpenBodyBytes()),
		lifetime: ctx, cancelAll: cancel,
	}
	for _, o := range opts {
		o(h)
	}
	limits := []bucket.Option{bucket.WithRate(cfg.GetPollBytesPerS())}
	if h.newRunner == nil {
		polls := link.New(cfg)
		client, pollClient := link.New(cfg).EngineClient(), polls.EngineClient()
		h.newRunner = func(address string) core.Runner {
			return engine.New(address, client, engine.WithPollClient(pollClient))
		}
		limits = append(limits, bucket.WithMeter(func() int64 {
			sent, received := polls.Bytes()
			return sent + received
		}))
	}
	h.pollBudget = bucket.New(limits...)
	h.Configure(config.Config())
	return h
}

// Configure applies a configuration if it is newer than the current one.
func (h *Host) Configure(cfg *core.Config) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.current != nil && cfg.Number <= h.current.Number {
		return
	}
	h.current = cfg
	h.partition = shard.New(cfg, int(h.cfg.GetPoolSize()))
	for id, p := range h.pools {
		p.Configure(cfg, h.partition.Endpoints(id))
	}
}

// PromptBytes returns the total bytes of the prompts that the pools of this instance hold.
func (h *Host) PromptBytes() int64 { return h.prompts.Used() }

// Partition returns the current division of endpoints into pools.
func (h *Host) Partition() *shard.Partition {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.partition
}

// OpenOwnedPools opens the pools that this instance owns by hash, so that their endpoints get orders and are polled
// before the first call.
func (h *Host) OpenOwnedPools(now time.Time) {
	for _, id := range h.Partition().AllPools() {
		if h.isOwner(now, id) {
			_, _ = h.openPool(id) // it fails only if the pool was removed in the meantime
		}
	}
}

// isOwner reports whether the hash makes this instance the owner of a pool.
func (h *Host) isOwner(now time.Time, id core.PoolID) bool {
	owners := h.members.Owners(now, OwnerKey(id), 1)
	return len(owners) == 1 && owners[0].ID == h.members.Self().ID
}

// driverOptions returns the options for the drivers of a pool. The drivers check the ownership before they send an order,
// because former owners keep the pool open.
func (h *Host) driverOptions(id core.PoolID) []driver.Option {
	opts := []driver.Option{
		driver.WithCounters(h.counters), driver.WithIsOwner(func() bool { return h.isOwner(h.Clock.Now(), id) }),
		driver.WithOrderOptions(order.WithReportLag(ms(h.cfg.GetReportLagMs()))),
	}
	if h.loadSlots != nil {
		opts = append(opts, driver.WithSlots(h.loadSlots))
	}
	return opts
}

// OwnerKey returns the name that is hashed to find the owner of a pool.
func OwnerKey(id core.PoolID) string { return "pool/" + string(id) }

// Pools returns the pools that are open on this instance.
func (h *Host) Pools() map[core.PoolID]*pool.Pool {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make(map[core.PoolID]*pool.Pool, len(h.pools))
	for id, p := range h.pools {
		out[id] = p
	}
	return out
}

// openPool returns a pool and opens it first if necessary.
func (h *Host) openPool(id core.PoolID) (*pool.Pool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p := h.pools[id]; p != nil {
		return p, nil
	}
	if h.partition.Model(id) == "" {
		return nil, &core.Error{
			Kind: core.KindNoEndpoint, Message: "pool " + string(id) + " does not exist in the current configuration of this instance",
			Remedy: "send the request again", Execution: core.NotExecuted, RetryAfter: time.Second,
		}
	}
	p := pool.New(h.Common, id, h.newPolicy(), h.newRunner,
		pool.WithPollInterval(ms(h.cfg.GetLoadPollMs())), pool.WithLeavingByList(h.members.EndpointLeaving),
		pool.WithPollBudget(h.pollBudget), pool.WithDriver(h.driverOptions(id)...))
	p.Configure(h.current, h.partition.Endpoints(id))
	h.pools[id] = p
	return p, nil
}

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// errCanceledByEntry is the cause of a cancellation that the entry instance requested, because the client disconnected or the
// deadline has passed.
var errCanceledByEntry = errors.New("the entry canceled the call: its client disconnected or its deadline has passed")

// Cancel cancels a call after its client has disconnected or its deadline has passed.
func (h *Host) Cancel(_ context.Context, id core.RequestID) {
	h.mu.Lock()
	cancel := h.cancels[id]
	h.mu.Unlock()
	if cancel != nil {
		cancel(errCanceledByEntry)
	}
}

func (h *Host) registerCall(id core.RequestID, cancel context.CancelCauseFunc) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.draining {
		return pool.LeavingError()
	}
	h.cancels[id] = cancel
	h.activeCalls.Add(1)
	return nil
}

func (h *Host) unregisterCall(id core.RequestID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.cancels, id)
	h.activeCalls.Done()
}

// Drain refuses new and waiting calls and waits until the running ones have ended.
func (h *Host) Drain() {
	h.mu.Lock()
	h.draining = true
	pools := make([]*pool.Pool, 0, len(h.pools))
	for _, p := range h.pools {
		pools = append(pools, p)
	}
	h.mu.Unlock()
	for _, p := range pools {
		p.Drain()
	}
	h.activeCalls.Wait()
}

// Close cancels all calls, waits for them and closes the pools.
func (h *Host) Close() {
	h.cancelAll()
	h.Drain()
	h.orphanWatchers.Wait()
	for _, p := range h.Pools() {
		p.Close()
	}
}
