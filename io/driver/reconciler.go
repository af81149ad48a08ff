package driver

import (
	"context"
	"errors"
	"sync"
	"time"

	"snipeshed/core"
	"snipeshed/core/order"
)

// Reconciler sends orders to one endpoint until it is in its wanted state; it is safe for concurrent use.
type Reconciler struct {
	core.Common

	id            core.EndpointID
	runner        core.Runner
	slots         core.WeightSlots
	counters      Counters
	isOwner       func() bool
	onChange      func()
	orderOpts     []order.Option
	checkInterval time.Duration
	wake          chan struct{}

	mu    sync.Mutex
	order *order.Order

	// lease and renewAt are used by Run only.
	lease   core.SlotLease
	renewAt time.Time
}

// defaultCheckInterval is short enough to detect a new owner within the second that it needs to open its pools.
const defaultCheckInterval = time.Second

// New returns a Reconciler for an endpoint; it sends nothing before Run.
func New(shared core.Common, id core.EndpointID, runner core.Runner, opts ...Option) *Reconciler {
	d := &Reconciler{
		Common: shared, id: id, runner: runner, slots: unlimitedSlots{}, counters: noCounters{},
		isOwner: func() bool { return true }, onChange: func() {}, checkInterval: defaultCheckInterval, wake: make(chan struct{}, 1),
	}
	for _, o := range opts {
		o(d)
	}
	d.order = order.New(d.orderOpts...)
	return d
}

// SetWanted sets the wanted state, with the number of the ticket that set it. checksFencing reports whether the endpoint refuses
// orders with an older number.
func (d *Reconciler) SetWanted(w core.RunnerOrder, checksFencing bool) {
	d.mu.Lock()
	d.order.SetWanted(w, checksFencing)
	d.mu.Unlock()
	d.wakeRun()
}

// RecordReport records the state that the endpoint reported.
func (d *Reconciler) RecordReport(l core.RunnerLoad) {
	d.mu.Lock()
	d.order.Report(d.Clock.Now(), l)
	d.mu.Unlock()
	d.wakeRun()
}

// MarkUnreachable records that the endpoint did not answer a poll.
func (d *Reconciler) MarkUnreachable() {
	d.mu.Lock()
	d.order.Unreachable()
	d.mu.Unlock()
	d.wakeRun()
}

// Loading reports whether the endpoint may be loading another model or version because of an order sent by this driver.
func (d *Reconciler) Loading() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.order.MayBeLoading()
}

// State returns the state of the order that brings the endpoint to its wanted state, for operators.
func (d *Reconciler) State() order.State {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.order.State(d.Clock.Now())
}

// wakeRun makes Run execute the next step without waiting for its timer.
func (d *Reconciler) wakeRun() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// Run executes steps until ctx ends.
func (d *Reconciler) Run(ctx context.Context) {
	t := time.NewTimer(0)
	defer t.Stop()
	for ctx.Err() == nil {
		wait := d.checkInterval
		for ctx.Err() == nil {
			d.renewLease(ctx)
			d.mu.Lock()
			step := d.order.Next(d.Clock.Now())
			d.mu.Unlock()
			if step.Kind == order.Wait {
				wait = min(wait, max(step.At.Sub(d.Clock.Now()), time.Millisecond))
			}
			if !d.runStep(ctx, step) {
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
	d.releaseOnExit(ctx)
}

// runStep executes a step and reports whether the next one may follow at once.
func (d *Reconciler) runStep(ctx context.Context, s order.Step) bool {
	switch s.Kind {
	case order.AcquireSlot:
		return d.isOwner() && d.acquireSlot(ctx)
	case order.ReleaseSlot:
		return d.releaseSlot(ctx)
	case order.Send:
		if !d.isOwner() {
			return false
		}
		d.sendOrder(ctx, s)
		return true
	}
	return false
}

// stopTimeout bounds an order that was being sent when Run was told to end, and the release of the slot after it.
const stopTimeout = time.Second

// sendOrder sends an order to the endpoint and records the outcome. An order under way is finished when ctx ends: if it were cut
// off, the endpoint might not load, and its slot would stay taken until the lease ends.
func (d *Reconciler) sendOrder(ctx context.Context, s order.Step) {
	ctx, cancel := withGrace(ctx, stopTimeout)
	defer cancel()
	d.mu.Lock()
	repeated := d.order.IneffectiveSends() > 0
	d.order.Sending(s)
	d.mu.Unlock()
	d.onChange() // before sending, so that no call goes to an endpoint that starts to load
	d.counters.Count(CountSent)
	if repeated {
		d.counters.Count(CountRepeated)
	}
	err := d.runner.SendOrder(ctx, s.Order)
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
	case errors.Is(err, core.ErrStaleOrder):
		result = order.Refused
		d.counters.Count(CountRefused)
		log.WithError(err).Warn("order refused: the endpoint has an order of a newer ticket; waiting for that ticket")
	case errors.Is(err, core.ErrNotSent) || errors.Is(err, core.ErrUnknownGeneration):
		result = order.NotSent
		log.WithError(err).Warn("order not sent; retrying with backoff")
	default:
		log.WithError(err).Warn("order failed and may have taken effect; retrying with backoff")
	}
	d.mu.Lock()
	d.order.Outcome(d.Clock.Now(), result)
	d.mu.Unlock()
	d.onChange()
}

// withGrace returns a context that ends a grace period after its parent.
func withGrace(parent context.Context, grace time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(parent))
	stop := context.AfterFunc(parent, func() {
		t := time.AfterFunc(grace, cancel)
		context.AfterFunc(ctx, func() { t.Stop() })
	})
	return ctx, func() {
		stop()
		cancel()
	}
}

// unlimitedSlots grants every request for a slot.
type unlimitedSlots struct{}

// unlimitedLease exceeds the duration of any load.
const unlimitedLease = 24 * time.Hour

// Acquire grants a slot.
func (unlimitedSlots) Acquire(context.Context, core.EndpointID) (core.SlotLease, error) {
	return core.SlotLease{Until: time.Now().Add(unlimitedLease)}, nil
}

// Renew restarts the lease.
func (unlimitedSlots) Renew(context.Context, core.SlotLease) (core.SlotLease, error) {
	return core.SlotLease{Until: time.Now().Add(unlimitedLease)}, nil
}

// Release does nothing.
func (unlimitedSlots) Release(context.Context, core.SlotLease) error { return nil }
