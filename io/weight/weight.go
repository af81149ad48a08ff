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

// SlotPool acquires and releases slots; it is safe for concurrent use.
type SlotPool struct {
	core.Common

	store         core.Store
	holder        core.InstanceID
	slots         int
	lease         time.Duration
	fullCacheTime time.Duration
	counters      Counters

	// mu also serializes the updates of this process, which would otherwise conflict with each other.
	mu         sync.Mutex
	observed   map[string]observation
	held       map[string]time.Time // slots in use by callers, with the end of their leases as this process counts it
	unresolved map[string]time.Time // slots whose write may have taken effect, with the end of their leases as this process counts it
	unreleased map[string]bool      // own slots that the next update has to release
	fullUntil  time.Time            // until then Acquire returns core.ErrNoSlot without a read
}

var _ core.WeightSlots = (*SlotPool)(nil)

// Counters counts events for operators.
type Counters interface {
	// Count adds one to the named counter.
	Count(name string)
}

type noCounters struct{}

// Count does nothing.
func (noCounters) Count(string) {}

// Names of counters.
const (
	// CountWrites counts updates sent to the object API.
	CountWrites = "weight_writes"
	// CountConflicts counts updates that failed because another process had changed the object.
	CountConflicts = "weight_conflicts"
	// CountTaken counts acquired slots.
	CountTaken = "weight_taken"
	// CountRenewed counts leases renewed because a load takes longer than half of one.
	CountRenewed = "weight_renewed"
	// CountUnused counts slots that were abandoned because the answer to their write was lost and too little of the lease is left.
	CountUnused = "weight_unused"
	// CountExpired counts slots removed because the holder did not renew the lease.
	CountExpired = "weight_expired"
	// CountOverrun counts own slots that others removed during a load; the limit may then have been exceeded by one.
	CountOverrun = "weight_overrun"
)

// Option configures a SlotPool in New.
type Option func(*SlotPool)

// WithSlots sets how many loads may run at once.
func WithSlots(n int) Option { return func(p *SlotPool) { p.slots = n } }

// WithLease sets the duration of a lease.
func WithLease(d time.Duration) Option { return func(p *SlotPool) { p.lease = d } }

// WithFullCacheTime sets for how long Acquire refuses further calls without a read after it found no free slot.
func WithFullCacheTime(d time.Duration) Option { return func(p *SlotPool) { p.fullCacheTime = d } }

// WithCounters sets the receiver of event counts.
func WithCounters(c Counters) Option { return func(p *SlotPool) { p.counters = c } }

const (
	defaultSlots = 8 // concurrent loads
	defaultLease = time.Minute
	// defaultFullCacheTime limits 350 instances with waiting loads to 350 of the object API's 2,000 reads per second.
	defaultFullCacheTime = time.Second
	// maxTries bounds the writes of one update, which is repeated after a conflict or a lost answer.
	maxTries = 5
)

// New returns a SlotPool that acquires slots for the instance holder.
func New(shared core.Common, store core.Store, holder core.InstanceID, opts ...Option) *SlotPool {
	p := &SlotPool{
		Common: shared, store: store, holder: holder, counters: noCounters{},
		slots: defaultSlots, lease: defaultLease, fullCacheTime: defaultFullCacheTime,
		observed: map[string]observation{}, held: map[string]time.Time{}, unresolved: map[string]time.Time{}, unreleased: map[string]bool{},
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Acquire acquires a slot for a load on an endpoint; core.ErrNoSlot means that all are taken, or that another instance has one
// for this endpoint.
func (p *SlotPool) Acquire(ctx context.Context, ep core.EndpointID) (core.SlotLease, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.Clock.Now().Before(p.fullUntil) {
		return core.SlotLease{}, core.ErrNoSlot
	}
	own := slot{Holder: p.holder, Endpoint: ep, Nonce: core.NewRandomID(), LeaseMS: p.lease.Milliseconds()}
	var adopted core.SlotLease
	until, err := p.update(ctx, own.Nonce, func(now time.Time, r *slotTable) error {
		if l, ok := p.claimUnresolved(now, r); ok {
			adopted = l
			return errNoWriteNeeded
		}
		p.removeEnded(now, r)
		if r.heldByOther(ep, p.holder) {
			return core.ErrNoSlot
		}
		if len(r.Slots) >= p.slots {
			p.fullUntil = now.Add(p.fullCacheTime)
			return core.ErrNoSlot
		}
		r.Slots = append(r.Slots, own)
		return nil
	})
	switch {
	case errors.Is(err, errNoWriteNeeded):
		return adopted, nil
	case err != nil:
		return core.SlotLease{}, err
	}
	p.held[own.Nonce] = until
	p.counters.Count(CountTaken)
	return core.SlotLease{Nonce: own.Nonce, Until: until}, nil
}

// errNoWriteNeeded ends an update that needs no write.
var errNoWriteNeeded = errors.New("the slot table needs no write")

// claimUnresolved returns a slot of an earlier call whose write took effect although its answer was lost. Slots with less than
// half of their lease left are too short for a load; it marks those it meets for release.
func (p *SlotPool) claimUnresolved(now time.Time, r *slotTable) (core.SlotLease, bool) {
	for nonce, until := range p.unresolved {
		switch {
		case until.Sub(now) < p.lease/2:
			// Too little of the lease is left for a load.
			p.counters.Count(CountUnused)
			delete(p.unresolved, nonce)
			p.unreleased[nonce] = true
		case r.index(nonce) >= 0:
			delete(p.unresolved, nonce)
			p.held[nonce] = until
			p.counters.Count(CountTaken)
			return core.SlotLease{Nonce: nonce, Until: until}, true
		}
	}
	return core.SlotLease{}, false
}

// removeEnded removes the slots whose lease has ended and the own slots that are to be released.
func (p *SlotPool) removeEnded(now time.Time, r *slotTable) {
	r.Slots = slices.DeleteFunc(r.Slots, func(e slot) bool {
		if p.unreleased[e.Nonce] {
			return true
		}
		if !p.expired(now, e) {
			return false
		}
		p.counters.Count(CountExpired)
		p.Log.WithFields(map[string]any{"holder": e.Holder, "endpoint": e.Endpoint}).Warn("slot of the weight store was not renewed and is removed")
		return true
	})
}

// Renew restarts the lease of a slot; core.ErrNoSlot means that the slot was lost.
func (p *SlotPool) Renew(ctx context.Context, l core.SlotLease) (core.SlotLease, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	renewal := int64(0)
	until, err := p.update(ctx, "", func(_ time.Time, r *slotTable) error {
		i := r.index(l.Nonce)
		if i < 0 {
			return p.recordLost(l)
		}
		if renewal != 0 && r.Slots[i].Renewal == renewal {
			return errNoWriteNeeded // an earlier try took effect, but its answer was lost
		}
		r.Slots[i].Renewal++
		renewal = r.Slots[i].Renewal
		return nil
	})
	if err != nil && !errors.Is(err, errNoWriteNeeded) {
		return l, err
	}
	p.held[l.Nonce] = until
	p.counters.Count(CountRenewed)
	return core.SlotLease{Nonce: l.Nonce, Until: until}, nil
}

// Release releases a slot; if it fails, the slot is removed by the next update or expires.
func (p *SlotPool) Release(ctx context.Context, l core.SlotLease) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unreleased[l.Nonce] = true
	p.fullUntil = time.Time{}
	first := true
	_, err := p.update(ctx, "", func(now time.Time, r *slotTable) error {
		if r.index(l.Nonce) < 0 {
			if first {
				return p.recordLost(l)
			}
			return errNoWriteNeeded
		}
		first = false
		p.removeEnded(now, r)
		return nil
	})
	delete(p.held, l.Nonce)
	if errors.Is(err, errNoWriteNeeded) || errors.Is(err, core.ErrNoSlot) {
		err = nil
	}
	if err == nil {
		delete(p.unreleased, l.Nonce)
	}
	return err
}

// recordLost records that another instance removed a slot; the limit may have been exceeded by one during its load.
func (p *SlotPool) recordLost(l core.SlotLease) error {
	if _, ok := p.held[l.Nonce]; ok {
		p.counters.Count(CountOverrun)
		p.Log.Warn("a slot of the weight store was lost during a load; loads may have exceeded weight_slots by one")
	}
	delete(p.held, l.Nonce)
	return core.ErrNoSlot
}

// update reads the slot table, changes it and writes it back, and repeats that after a conflict; p.mu is held.
//
// It returns the end of a lease that starts before the write. If the answer to a write is lost, update reads the table back and
// calls change again to find out whether the write took effect; until then nonce, if not empty, is kept in p.unresolved.
func (p *SlotPool) update(ctx context.Context, nonce string, change func(time.Time, *slotTable) error) (time.Time, error) {
	// first is the start of the first write that may have taken effect: others may count the lease from then on.
	var first time.Time
	for try := 0; try < maxTries; try++ {
		r, version, err := p.read(ctx)
		if err != nil {
			return time.Time{}, err
		}
		now := p.Clock.Now()
		if err := change(now, &r); err != nil {
			return first.Add(p.lease), err
		}
		err = p.write(ctx, r, version)
		switch {
		case err == nil:
			delete(p.unresolved, nonce)
			return now.Add(p.lease), nil
		case errors.Is(err, core.ErrVersionMismatch):
			p.counters.Count(CountConflicts)
		case core.MayHaveTakenEffect(err):
			if first.IsZero() {
				first = now
			}
			if nonce != "" {
				p.unresolved[nonce] = first.Add(p.lease)
			}
		default:
			return time.Time{}, err
		}
	}
	return time.Time{}, fmt.Errorf("slots of the weight store were not updated in %d tries because of conflicts or lost answers; it is tried again later", maxTries)
}

func (p *SlotPool) read(ctx context.Context) (slotTable, core.Version, error) {
	o, err := p.store.Get(ctx, Key)
	if errors.Is(err, core.ErrNotFound) {
		return slotTable{}, 0, nil
	}
	if err != nil {
		return slotTable{}, 0, err
	}
	r, err := decode(o)
	if err != nil {
		return slotTable{}, 0, err
	}
	p.observe(p.Clock.Now(), r)
	return r, o.Version, nil
}

func (p *SlotPool) write(ctx context.Context, r slotTable, version core.Version) error {
	value, err := r.extra.Marshal(r)
	if err != nil {
		return fmt.Errorf("slot table cannot be encoded: %w", err)
	}
	p.counters.Count(CountWrites)
	_, err = p.store.Put(ctx, Key, value, version)
	return err
}
