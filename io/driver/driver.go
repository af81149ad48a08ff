package driver

import (
	"context"
	"errors"
	"sync"
	"time"

	"snipeshed/core"
	"snipeshed/core/order"
)

// Driver sends the orders of one endpoint; it is safe for concurrent use.
type Driver struct {
	core.Shared

	id        core.EndpointID
	runner    core.Runner
	slots     core.Slots
	counters  Counters
	owner     func() bool
	changed   func()
	orderOpts []order.Option
	check     time.Duration
	wake      chan struct{}

	mu    sync.Mutex
	order *order.Order

	// lease and renewAt are used by Run only.
	lease   core.Lease
	renewAt time.Time
}

// defaultCheck finds a new owner within the second in which an instance opens the pools that it has come to own.
const defaultCheck = time.Second

// New returns a Driver of an endpoint; it does nothing before Run.
func New(shared core.Shared, id core.EndpointID, runner core.Runner, opts ...Option) *Driver {
	d := &Driver{
		Shared: shared, id: id, runner: runner, slots: unlimited{}, counters: noCounters{},
		owner: func() bool { return true }, changed: func() {}, check: defaultCheck, wake: make(chan struct{}, 1),
	}
	for _, o := range opts {
		o(d)
	}
	d.order = order.New(d.orderOpts...)
	return d
}

// Want sets the wanted state with the number of the ticket that set it.
func (d *Driver) Want(w core.RunnerOrder, checks bool) {
	d.mu.Lock()
	d.order.Want(w, checks)
	d.mu.Unlock()
	d.poke()
}

// Report takes the endpoint's report.
func (d *Driver) Report(l core.RunnerLoad) {
	d.mu.Lock()
	d.order.Report(d.Clock.Now(), l)
	d.mu.Unlock()
	d.poke()
}

// Unreachable notes that the endpoint did not answer a poll.
func (d *Driver) Unreachable() {
	d.mu.Lock()
	d.order.Unreachable()
	d.mu.Unlock()
	d.poke()
}

// Loading reports whether the endpoint may be loading another model or version by our order.
func (d *Driver) Loading() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.order.Loads()
}

// State describes for operators how far the endpoint is from the wanted state.
func (d *Driver) State() order.State {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.order.State(d.Clock.Now())
}

func (d *Driver) poke() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// Run carries out steps until ctx ends.
func (d *Driver) Run(ctx context.Context) {
	t := time.NewTimer(0)
	defer t.Stop()
	for ctx.Err() == nil {
		wait := d.check
		for ctx.Err() == nil {
			d.renew(ctx)
			d.mu.Lock()
			step := d.order.Next(d.Clock.Now())
			d.mu.Unlock()
			if step.Kind == order.Wait {
				wait = min(wait, max(step.At.Sub(d.Clock.Now()), time.Millisecond))
			}
			if !d.do(ctx, step) {
				break
			}
		}
		if !d.renewAt.IsZero() && d.Loading() {
			wait = min(wait, max(d.renewAt.Sub(d.Clock.Now()), time.Millisecond))
		}
		t.Reset(wait)
		select {
		case <-ctx.Done():
		case <-d.wake:
		case <-t.C:
		}
	}
	d.leave(ctx)
}

// do carries out a step and reports whether the next one may follow at once.
func (d *Driver) do(ctx context.Context, s order.Step) bool {
	switch s.Kind {
	case order.Acquire:
		return d.owner() && d.acquire(ctx)
	case order.Release:
		return d.release(ctx)
	case order.Send:
		if !d.owner() {
			return false
		}
		d.send(ctx, s)
		return true
	}
	return false
}

func (d *Driver) send(ctx context.Context, s order.Step) {
	d.mu.Lock()
	repeated := d.order.Sends() > 0
	d.order.Sending(s)
	d.mu.Unlock()
	d.changed() // before the order, so that no call is sent to an endpoint that begins to load
	d.counters.Count(CountSent)
	if repeated {
		d.counters.Count(CountRepeated)
	}
	err := d.runner.Order(ctx, s.Order)
	log := d.Log.WithFields(map[string]any{
		"endpoint": d.id, "ticket": s.Order.Number, "model": s.Order.Model, "version": s.Order.Version, "load": s.Load,
	})
	result := order.Unknown
	switch {
	case err == nil && repeated:
		result = order.Accepted
		log.Warn("order repeated: the endpoint had accepted it but reports another state")
	case err == nil:
		result = order.Accepted
		log.Info("order accepted by endpoint")
	case errors.Is(err, core.ErrOldOrder):
		result = order.Refused
		d.counters.Count(CountRefused)
		log.WithError(err).Warn("order refused: the endpoint had the order of a newer ticket, which is waited for")
	case errors.Is(err, core.ErrNotSent) || errors.Is(err, core.ErrGone):
		result = order.NotSent
		log.WithError(err).Warn("order not sent; it is repeated with backoff")
	default:
		log.WithError(err).Warn("order failed and may have taken effect; it is repeated with backoff")
	}
	d.mu.Lock()
	d.order.Outcome(d.Clock.Now(), result)
	d.mu.Unlock()
	d.changed()
}

// unlimited grants every slot.
type unlimited struct{}

// unlimitedLease is longer than any load.
const unlimitedLease = 24 * time.Hour

// Acquire grants a slot.
func (unlimited) Acquire(context.Context, core.EndpointID) (core.Lease, error) {
	return core.Lease{Until: time.Now().Add(unlimitedLease)}, nil
}

// Renew restarts the lease.
func (unlimited) Renew(context.Context, core.Lease) (core.Lease, error) {
	return core.Lease{Until: time.Now().Add(unlimitedLease)}, nil
}

// Release does nothing.
func (unlimited) Release(context.Context, core.Lease) error { return nil }
