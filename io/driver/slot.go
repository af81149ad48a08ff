package driver

import (
	"context"
	"errors"
	"time"

	"snipeshed/core"
)

func (d *Driver) acquire(ctx context.Context) bool {
	l, err := d.slots.Acquire(ctx, d.id)
	now := d.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		if !errors.Is(err, core.ErrNoSlot) && ctx.Err() == nil {
			d.Log.WithField("endpoint", d.id).WithError(err).Warn("no slot of the weight store can be taken; the load waits")
		}
		d.order.Denied(now)
		return true // the next step is a wait
	}
	d.hold(now, l)
	return true
}

// hold notes a lease; d.mu is held.
func (d *Driver) hold(now time.Time, l core.Lease) {
	d.lease = l
	d.renewAt = now.Add(l.Until.Sub(now) / 2)
	d.order.Granted(l.Until)
}

// renew restarts the lease of a held slot at half of its time while the endpoint answers.
func (d *Driver) renew(ctx context.Context) {
	now := d.Clock.Now()
	d.mu.Lock()
	due := !d.renewAt.IsZero() && !now.Before(d.renewAt) && d.order.Loads() && d.order.Reachable()
	d.mu.Unlock()
	if !due {
		return
	}
	l, err := d.slots.Renew(ctx, d.lease)
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case err == nil:
		d.hold(d.Clock.Now(), l)
	case errors.Is(err, core.ErrNoSlot):
		d.forget()
	default:
		d.renewAt = now.Add(d.check)
		d.Log.WithField("endpoint", d.id).WithError(err).Warn("slot of the weight store was not renewed; it is tried again")
	}
}

// forget drops the slot; d.mu is held.
func (d *Driver) forget() {
	d.lease, d.renewAt = core.Lease{}, time.Time{}
	d.order.Released()
}

// release gives the slot back, again at the next check when that fails before the end of the lease.
func (d *Driver) release(ctx context.Context) bool {
	err := d.slots.Release(ctx, d.lease)
	if err != nil && d.Clock.Now().Before(d.lease.Until) {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forget()
	return true
}

// releaseTimeout bounds the last release of a driver that ends.
const releaseTimeout = time.Second

// leave gives the slot back unless a load may still run, whose slot then ends with its lease.
func (d *Driver) leave(ctx context.Context) {
	if d.lease.Nonce == "" || d.Loading() {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	_ = d.slots.Release(ctx, d.lease) // otherwise the slot ends with its lease
}
