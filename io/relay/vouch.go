package relay

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"snipeshed/core"
)

// reachSteps divides the vouch limit in the encoding of ages; reachNone is older than all of them.
const (
	reachSteps = 250
	reachNone  = 255
)

// longestAge bounds the ages that a stamp can hold; no instance runs that long.
const longestAge = 10 * 365 * 24 * time.Hour

// stamp is the latest of some times, as ns after a base; 0 means none.
type stamp struct{ atomic.Int64 }

func (s *stamp) advance(base, at time.Time) {
	n := int64(at.Sub(base))
	for old := s.Load(); n > old && !s.CompareAndSwap(old, n); old = s.Load() {
	}
}

func (s *stamp) age(base, now time.Time) time.Duration {
	if n := s.Load(); n > 0 {
		return max(now.Sub(base)-time.Duration(n), 0)
	}
	return longestAge
}

// vouch records what vouches for the configuration, in this machine's monotonic time.
type vouch struct {
	limit time.Duration
	base  time.Time
	// store is the last contact with the store, direct or passed along; half is when half of the members had been heard.
	store, half stamp

	mu    sync.Mutex
	heard map[core.InstanceID]time.Time
}

func newVouch(now time.Time, limit time.Duration) *vouch {
	return &vouch{limit: limit, base: now.Add(-longestAge), heard: map[core.InstanceID]time.Time{}}
}

// contact records that the state in force was at least as new as the store's at a time.
func (v *vouch) contact(at time.Time) { v.store.advance(v.base, at) }

// storeAge returns the time since the last store contact, or longestAge when there was none.
func (v *vouch) storeAge(now time.Time) time.Duration { return v.store.age(v.base, now) }

// age returns the time since the state was last vouched for by either.
func (v *vouch) age(now time.Time) time.Duration {
	return min(v.storeAge(now), v.half.age(v.base, now))
}

func (v *vouch) fresh(now time.Time) bool { return v.age(now) < v.limit }

// hear records a sign of life of an instance, direct or passed on, that left it at a time.
func (v *vouch) hear(id core.InstanceID, at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if at.After(v.heard[id]) {
		v.heard[id] = at
	}
}

// reach encodes the ages of the signs of life of a fleet; this instance's own is 0.
func (v *vouch) reach(now time.Time, self core.InstanceID, fleet []core.InstanceID) []byte {
	v.mu.Lock()
	defer v.mu.Unlock()
	ages := make([]byte, len(fleet))
	step := v.limit / reachSteps
	for i, id := range fleet {
		at, found := v.heard[id]
		// Ages are rounded up, so that passing them on never makes them younger.
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

// merge takes a peer's reach; asked is when the peer was asked, so the true ages are no greater.
func (v *vouch) merge(asked time.Time, self core.InstanceID, fleet []core.InstanceID, ages []byte) {
	if len(ages) != len(fleet) {
		return
	}
	for i, id := range fleet {
		if ages[i] != reachNone && id != self {
			v.hear(id, asked.Add(-time.Duration(ages[i])*(v.limit/reachSteps)))
		}
	}
}

// count records when at least half of the members, this instance included, had been heard.
//
// Of two members one is half, so at least one other must be heard: an instance
// that is cut off from everything never vouches for itself.
func (v *vouch) count(others []core.Peer) {
	if len(others) == 0 {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	var heard []time.Time
	known := make(map[core.InstanceID]time.Time, len(others))
	for _, p := range others {
		if at, found := v.heard[p.ID]; found {
			heard = append(heard, at)
			known[p.ID] = at
		}
	}
	v.heard = known
	need := halfOf(len(others))
	if len(heard) < need {
		return
	}
	slices.SortFunc(heard, func(a, b time.Time) int { return b.Compare(a) })
	v.half.advance(v.base, heard[need-1])
}

// reached reports whether at least half of the members have been heard since a time.
func (v *vouch) reached(since time.Time, others []core.Peer) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := 0
	for _, p := range others {
		if at, found := v.heard[p.ID]; found && !at.Before(since) {
			n++
		}
	}
	return len(others) > 0 && n >= halfOf(len(others))
}

// heardSince reports whether any instance that has a state has been heard since a time.
func (v *vouch) heardSince(since time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, at := range v.heard {
		if !at.Before(since) {
			return true
		}
	}
	return false
}

// halfOf returns how many others make at least half of the members together with this instance, but at least one.
func halfOf(others int) int { return max((others+2)/2-1, 1) }
