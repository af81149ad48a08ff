package relay

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"snipeshed/core"
)

// reachSteps is the number of steps of the freshness limit in encoded ages; reachNone encodes a greater age or none.
const (
	reachSteps = 250
	reachNone  = 255
)

// maxAge is the highest age that a latestTime can express; no instance runs that long.
const maxAge = 10 * 365 * 24 * time.Hour

// latestTime is the latest of several times, in ns after a base; 0 means none.
type latestTime struct{ atomic.Int64 }

func (s *latestTime) advance(base, at time.Time) {
	n := int64(at.Sub(base))
	for old := s.Load(); n > old && !s.CompareAndSwap(old, n); old = s.Load() {
	}
}

func (s *latestTime) age(base, now time.Time) time.Duration {
	if n := s.Load(); n > 0 {
		return max(now.Sub(base)-time.Duration(n), 0)
	}
	return maxAge
}

// freshness tracks when the configuration was last confirmed to be current, in this machine's monotonic time.
type freshness struct {
	limit time.Duration
	base  time.Time
	// store is the last contact with the store, direct or through peers; halfHeard is the time since which at least half of
	// the members, this instance included, have been heard from.
	store, halfHeard latestTime

	mu    sync.Mutex
	heard map[core.InstanceID]time.Time
}

func newFreshness(now time.Time, limit time.Duration) *freshness {
	return &freshness{limit: limit, base: now.Add(-maxAge), heard: map[core.InstanceID]time.Time{}}
}

// recordStoreContact records that the state in force was at least as new as the store's at a time.
func (f *freshness) recordStoreContact(at time.Time) { f.store.advance(f.base, at) }

// storeAge returns the time since the last store contact, or maxAge if there was none.
func (f *freshness) storeAge(now time.Time) time.Duration { return f.store.age(f.base, now) }

// age returns the time since the state was last confirmed by the store or by half of the members.
func (f *freshness) age(now time.Time) time.Duration {
	return min(f.storeAge(now), f.halfHeard.age(f.base, now))
}

func (f *freshness) fresh(now time.Time) bool { return f.age(now) < f.limit }

// recordHeard records that an instance was heard from, directly or through others, with a message sent at a time.
func (f *freshness) recordHeard(id core.InstanceID, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.heard[id]) {
		f.heard[id] = at
	}
}

// encodeReach encodes the time since each instance of the fleet was heard from; this instance's own is 0.
func (f *freshness) encodeReach(now time.Time, self core.InstanceID, fleet []core.InstanceID) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	ages := make([]byte, len(fleet))
	step := f.limit / reachSteps
	for i, id := range fleet {
		at, found := f.heard[id]
		// Ages are rounded up, so that passing them on never makes them smaller.
		n := (now.Sub(at) + step - 1) / step
		switch {
		case id == self:
		case !found || n > reachSteps:
			ages[i] = reachNone
		default:
			ages[i] = byte(max(n, 0))
		}
	}
	return ages
}

// mergeReach merges the ages that a peer sent; asked is when the peer was asked, so the true ages are no greater.
func (f *freshness) mergeReach(asked time.Time, self core.InstanceID, fleet []core.InstanceID, ages []byte) {
	if len(ages) != len(fleet) {
		return
	}
	for i, id := range fleet {
		if ages[i] != reachNone && id != self {
			f.recordHeard(id, asked.Add(-time.Duration(ages[i])*(f.limit/reachSteps)))
		}
	}
}

// updateHalfHeard updates the time since which at least half of the members, this instance included, have been heard from.
//
// Of two members one is already half, but at least one other must be heard from: an instance that is cut off from everything
// must not confirm its own state.
func (f *freshness) updateHalfHeard(others []core.Peer) {
	if len(others) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var heard []time.Time
	known := make(map[core.InstanceID]time.Time, len(others))
	for _, p := range others {
		if at, found := f.heard[p.ID]; found {
			heard = append(heard, at)
			known[p.ID] = at
		}
	}
	f.heard = known
	need := othersForHalf(len(others))
	if len(heard) < need {
		return
	}
	slices.SortFunc(heard, func(a, b time.Time) int { return b.Compare(a) })
	f.halfHeard.advance(f.base, heard[need-1])
}

// halfHeardSince reports whether at least half of the members have been heard from since a time.
func (f *freshness) halfHeardSince(since time.Time, others []core.Peer) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, p := range others {
		if at, found := f.heard[p.ID]; found && !at.Before(since) {
			n++
		}
	}
	return len(others) > 0 && n >= othersForHalf(len(others))
}

// heardSince reports whether any instance that has a state has been heard from since a time.
func (f *freshness) heardSince(since time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, at := range f.heard {
		if !at.Before(since) {
			return true
		}
	}
	return false
}

// othersForHalf returns how many other members, together with this instance, make at least half of all; it is at least one.
func othersForHalf(others int) int { return max((others+2)/2-1, 1) }
