package driver

import (
	"context"
	"errors"
	"time"

	"snipeshed/core"
)

// acquireSlot acquires a slot for a load. It returns true, also after a failure, because the next step is then a wait.
func (d *Reconciler) acquireSlot(ctx context.Context) bool {
	l, err := d.slots.Acquire(ctx, d.id)
	now := d.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		if !errors.Is(err, core.ErrNoSlot) && ctx.Err() == nil {
			d.Log.WithField("endpoint", d.id).WithError(err).Warn("cannot acquire a slot of the weight store; the load waits and is tried again")
		}
		d.order.SlotDenied(now)
		return true
	}
	d.setLease(now, l)
	return true
}

// setLease records the lease of a slot; d.mu must be held.
func (d *Reconciler) setLease(now time.Time, l core.SlotLease) {
	d.lease = l
	d.renewAt = now.Add(l.Until.Sub(now) / 2)
	d.order.SlotGranted(l.Until)
}

// renewLease renews the lease of a held slot after half of its duration, if the endpoint is loading and reachable.
func (d *Reconciler) renewLease(ctx context.Context) {
	now := d.Clock.Now()
	d.mu.Lock()
	due := !d.renewAt.IsZero() && !now.Before(d.renewAt) && d.order.MayBeLoading() && d.order.Reachable()
	d.mu.Unlock()
	if !due {
		return
	}
	l, err := d.slots.Renew(ctx, d.lease)
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case err == nil:
		d.setLease(d.Clock.Now(), l)
	case errors.Is(err, core.ErrNoSlot):
		d.clearLease()
	default:
		d.renewAt = now.Add(d.checkInterval)
		d.Log.WithField("endpoint", d.id).WithError(err).Warn("cannot renew the lease of a slot of the weight store; retrying")
	}
}

// clearLease records that the driver holds no slot; d.mu must be held.
func (d *Reconciler) clearLease() {
	d.lease, d.renewAt = core.SlotLease{}, time.Time{}
	d.order.SlotReleased()
}

// releaseSlot releases the slot and reports whether the driver no longer holds it. A failed release before the end of the
// lease is retried at the next check.
func (d *Reconciler) releaseSlot(ctx context.Context) bool {
	err := d.slots.Release(ctx, d.lease)
	if err != nil && d.Clock.Now().Before(d.lease.Until) {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.clearLease()
	return true
}

// releaseOnExit releases the slot when Run ends, unless a load may still be running; its slot ends with its lease.
func (d *Reconciler) releaseOnExit(ctx context.Context) {
	if d.lease.Nonce == "" || d.Loading() {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	_ = d.slots.Release(ctx, d.lease) // if this fails, the slot ends with its lease
}
