package weight

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"snipeshed/core"
)

// Weight takes and gives back slots; it is safe for concurrent use.
type Weight struct {
	core.Shared

	store    core.Store
	holder   core.InstanceID
	slots    int
	lease    time.Duration
	readGap  time.Duration
	counters Counters

	// mu also orders the updates of this process, which would otherwise conflict with each other.
	mu      sync.Mutex
	seen    map[string]sighting
	mine    map[string]time.Time // slots given to callers, with the end of their leases here
	unknown map[string]time.Time // slots whose write may have taken effect, with the end of their leases here
	dropped map[string]bool      // slots whose release failed
	full    time.Time            // until then Acquire refuses without reading
}

var _ core.Slots = (*Weight)(nil)

// Counters receives the events that an operator watches.
type Counters interface {
	// Count adds one to a named counter.
	Count(name string)
}

type noCounters struct{}

// Count does nothing.
func (noCounters) Count(string) {}

// Names of counters.
const (
	// CountWrites counts updates sent to the object API.
	CountWrites = "weight_writes"
	// CountConflicts counts updates that met another version.
	CountConflicts = "weight_conflicts"
	// CountTaken counts slots taken.
	CountTaken = "weight_taken"
	// CountRenewed counts leases renewed because a load takes longer than half of one.
	CountRenewed = "weight_renewed"
	// CountUnused counts slots whose taking was resolved too late for a load.
	CountUnused = "weight_unused"
	// CountExpired counts slots taken from a holder that did not renew its lease.
	CountExpired = "weight_expired"
	// CountOverrun counts own slots found taken away, during whose loads the limit may have been exceeded by one.
	CountOverrun = "weight_overrun"
)

// Option changes a Weight.
type Option func(*Weight)

// WithSlots sets how many loads may run at once.
func WithSlots(n int) Option { return func(w *Weight) { w.slots = n } }

// WithLease sets the duration of a lease.
func WithLease(d time.Duration) Option { return func(w *Weight) { w.lease = d } }

// WithReadGap sets for how long a record without free slots answers further calls.
func WithReadGap(d time.Duration) Option { return func(w *Weight) { w.readGap = d } }

// WithCounters sets where events are counted.
func WithCounters(c Counters) Option { return func(w *Weight) { w.counters = c } }

const (
	defaultSlots = 8
	defaultLease = time.Minute
	// defaultReadGap keeps 350 instances with waiting loads at 350 of the object API's 2,000 reads per second.
	defaultReadGap = time.Second
	// maxTries bounds the updates of one call that meet another version.
	maxTries = 5
)

// New returns a Weight that takes slots for the instance holder.
func New(shared core.Shared, store core.Store, holder core.InstanceID, opts ...Option) *Weight {
	w := &Weight{
		Shared: shared, store: store, holder: holder, counters: noCounters{},
		slots: defaultSlots, lease: defaultLease, readGap: defaultReadGap,
		seen: map[string]sighting{}, mine: map[string]time.Time{}, unknown: map[string]time.Time{}, dropped: map[string]bool{},
	}
	for _, o := range opts {
		o(w)
	}
	return w
}

// Acquire takes a slot for an endpoint's load; core.ErrNoSlot means that all are taken, or that another instance has one
// for this endpoint.
func (w *Weight) Acquire(ctx context.Context, ep core.EndpointID) (core.Lease, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.Clock.Now().Before(w.full) {
		return core.Lease{}, core.ErrNoSlot
	}
	own := entry{Holder: w.holder, Endpoint: ep, Nonce: core.NewRandomID(), LeaseMS: w.lease.Milliseconds()}
	var adopted core.Lease
	until, err := w.update(ctx, own.Nonce, func(now time.Time, r *record) error {
		if l, ok := w.adopt(now, r); ok {
			adopted = l
			return errUnchanged
		}
		w.clean(now, r)
		if r.heldByOther(ep, w.holder) {
			return core.ErrNoSlot
		}
		if len(r.Slots) >= w.slots {
			w.full = now.Add(w.readGap)
			return core.ErrNoSlot
		}
		r.Slots = append(r.Slots, own)
		return nil
	})
	switch {
	case errors.Is(err, errUnchanged):
		return adopted, nil
	case err != nil:
		return core.Lease{}, err
	}
	w.mine[own.Nonce] = until
	w.counters.Count(CountTaken)
	return core.Lease{Nonce: own.Nonce, Until: until}, nil
}

// errUnchanged ends an update that needs no write.
var errUnchanged = errors.New("the record already holds the change")

// adopt returns a slot of an earlier call whose write took effect although its answer was lost.
func (w *Weight) adopt(now time.Time, r *record) (core.Lease, bool) {
	for nonce, until := range w.unknown {
		switch {
		case until.Sub(now) < w.lease/2:
			// Too little is left for a load.
			w.counters.Count(CountUnused)
			delete(w.unknown, nonce)
			w.dropped[nonce] = true
		case r.index(nonce) >= 0:
			delete(w.unknown, nonce)
			w.mine[nonce] = until
			w.counters.Count(CountTaken)
			return core.Lease{Nonce: nonce, Until: until}, true
		}
	}
	return core.Lease{}, false
}

// clean removes ended leases and own slots whose release failed.
func (w *Weight) clean(now time.Time, r *record) {
	r.Slots = slices.DeleteFunc(r.Slots, func(e entry) bool {
		if w.dropped[e.Nonce] {
			return true
		}
		if !w.expired(now, e) {
			return false
		}
		w.counters.Count(CountExpired)
		w.Log.WithFields(map[string]any{"holder": e.Holder, "endpoint": e.Endpoint}).Warn("slot of the weight store was not renewed and is taken over")
		return true
	})
}

// Renew restarts the lease of a slot; core.ErrNoSlot means that the slot was lost.
func (w *Weight) Renew(ctx context.Context, l core.Lease) (core.Lease, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	renewal := int64(0)
	until, err := w.update(ctx, "", func(_ time.Time, r *record) error {
		i := r.index(l.Nonce)
		if i < 0 {
			return w.lost(l)
		}
		if renewal != 0 && r.Slots[i].Renewal == renewal {
			return errUnchanged // the answer to an earlier try was lost
		}
		r.Slots[i].Renewal++
		renewal = r.Slots[i].Renewal
		return nil
	})
	if err != nil && !errors.Is(err, errUnchanged) {
		return l, err
	}
	w.mine[l.Nonce] = until
	w.counters.Count(CountRenewed)
	return core.Lease{Nonce: l.Nonce, Until: until}, nil
}

// Release gives a slot back; after an error it goes with the next update or with the end of its lease.
func (w *Weight) Release(ctx context.Context, l core.Lease) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropped[l.Nonce] = true
	w.full = time.Time{}
	first := true
	_, err := w.update(ctx, "", func(now time.Time, r *record) error {
		if r.index(l.Nonce) < 0 {
			if first {
				return w.lost(l)
			}
			return errUnchanged
		}
		first = false
		w.clean(now, r)
		return nil
	})
	delete(w.mine, l.Nonce)
	if errors.Is(err, errUnchanged) || errors.Is(err, core.ErrNoSlot) {
		err = nil
	}
	if err == nil {
		delete(w.dropped, l.Nonce)
	}
	return err
}

// lost notes that a slot was taken away; the load that it was for may have exceeded the limit by one.
func (w *Weight) lost(l core.Lease) error {
	if _, ok := w.mine[l.Nonce]; ok {
		w.counters.Count(CountOverrun)
		w.Log.Warn("a slot of the weight store was lost during a load; loads may have exceeded weight_slots by one")
	}
	delete(w.mine, l.Nonce)
	return core.ErrNoSlot
}

// update reads the record, changes it and writes it, again when another process was faster; w.mu is held.
//
// It returns the end of a lease that counts from before the write. A write whose answer is lost is resolved by
// calling change with the record read back; nonce, if any, is kept as unknown until then.
func (w *Weight) update(ctx context.Context, nonce string, change func(time.Time, *record) error) (time.Time, error) {
	// first is the start of the first write that may have taken effect: from then on others may count the lease.
	var first time.Time
	for try := 0; try < maxTries; try++ {
		r, version, err := w.read(ctx)
		if err != nil {
			return time.Time{}, err
		}
		now := w.Clock.Now()
		if err := change(now, &r); err != nil {
			return first.Add(w.lease), err
		}
		err = w.write(ctx, r, version)
		switch {
		case err == nil:
			delete(w.unknown, nonce)
			return now.Add(w.lease), nil
		case errors.Is(err, core.ErrVersion):
			w.counters.Count(CountConflicts)
		case core.MayHaveTakenEffect(err):
			if first.IsZero() {
				first = now
			}
			if nonce != "" {
				w.unknown[nonce] = first.Add(w.lease)
			}
		default:
			return time.Time{}, err
		}
	}
	return time.Time{}, fmt.Errorf("slots of the weight store changed %d times during one update; it is tried again later", maxTries)
}

func (w *Weight) read(ctx context.Context) (record, core.Version, error) {
	o, err := w.store.Get(ctx, Key)
	if errors.Is(err, core.ErrNotFound) {
		return record{}, 0, nil
	}
	if err != nil {
		return record{}, 0, err
	}
	r, err := decode(o)
	if err != nil {
		return record{}, 0, err
	}
	w.sight(w.Clock.Now(), r)
	return r, o.Version, nil
}

func (w *Weight) write(ctx context.Context, r record, version core.Version) error {
	value, err := r.extra.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode slots: %w", err)
	}
	w.counters.Count(CountWrites)
	_, err = w.store.Put(ctx, Key, value, version)
	return err
}
