package relay

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"snipeshed/core"
)

// reachSteps is the resolution of the ages in Delta.Reach: the number of steps that make up the freshness limit. reachNone
// stands for a greater age or for no contact.
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
	// storeContact is the last contact with the store, direct or through peers. quorumContact is the latest time since which this
	// instance has had contact with a quorum: at least half of the members, this instance included.
	storeContact, quorumContact latestTime

	mu sync.Mutex
	// lastContact is the last contact with each peer that had a state, direct or through other peers.
	lastContact map[core.InstanceID]time.Time
}

func newFreshness(now time.Time, limit time.Duration) *freshness {
	return &freshness{limit: limit, base: now.Add(-maxAge), lastContact: map[core.InstanceID]time.Time{}}
}

// recordStoreContact records that the state in force was at least as new as the store's at a time.
func (f *freshness) recordStoreContact(at time.Time) { f.storeContact.advance(f.base, at) }

// storeAge returns the time since the last store contact, or maxAge if there was none.
func (f *freshness) storeAge(now time.Time) time.Duration { return f.storeContact.age(f.base, now) }

// age returns the time since the state was last confirmed by the store or by a quorum.
func (f *freshness) age(now time.Time) time.Duration {
	return min(f.storeAge(now), f.quorumContact.age(f.base, now))
}

func (f *freshness) fresh(now time.Time) bool { return f.age(now) < f.limit }

// recordPeerContact records a contact with a peer at a time, direct or through other peers.
func (f *freshness) recordPeerContact(id core.InstanceID, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.lastContact[id]) {
		f.lastContact[id] = at
	}
}

// encodeReach encodes the time since the last contact with each instance of the fleet; the value for this instance is 0.
func (f *freshness) encodeReach(now time.Time, self core.InstanceID, fleet []core.InstanceID) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	ages := make([]byte, len(fleet))
	step := f.limit / reachSteps
	for i, id := range fleet {
		at, found := f.lastContact[id]
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

// mergeReach merges the ages that a peer sent. They are counted from asked, the time of the request, so that no contact looks
// more recent than it was.
func (f *freshness) mergeReach(asked time.Time, self core.InstanceID, fleet []core.InstanceID, ages []byte) {
	if len(ages) != len(fleet) {
		return
	}
	for i, id := range fleet {
		if ages[i] != reachNone && id != self {
			f.recordPeerContact(id, asked.Add(-time.Duration(ages[i])*(f.limit/reachSteps)))
		}
	}
}

// updateQuorumContact updates quorumContact and drops the contacts with instances that are not among others.
//
// Of two members one is already half, but contact with at least one other is required: an instance that is cut off from
// everything must not confirm its own state.
func (f *freshness) updateQuorumContact(others []core.Peer) {
	if len(others) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var contacts []time.Time
	remaining := make(map[core.InstanceID]time.Time, len(others))
	for _, p := range others {
		if at, found := f.lastContact[p.ID]; found {
			contacts = append(contacts, at)
			remaining[p.ID] = at
		}
	}
	f.lastContact = remaining
	need := othersForQuorum(len(others))
	if len(contacts) < need {
		return
	}
	slices.SortFunc(contacts, func(a, b time.Time) int { return b.Compare(a) })
	f.quorumContact.advance(f.base, contacts[need-1])
}

// expiresFirst returns the peer with the oldest contact that still counts, that is within the limit.
func (f *freshness) expiresFirst(now time.Time, others []core.Peer) (oldest core.Peer, found bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var oldestAt time.Time
	for _, p := range others {
		at, known := f.lastContact[p.ID]
		if known && now.Sub(at) < f.limit && (!found || at.Before(oldestAt)) {
			oldest, oldestAt, found = p, at, true
		}
	}
	return oldest, found
}

// hasQuorumSince reports whether there has been contact with a quorum since a time.
func (f *freshness) hasQuorumSince(since time.Time, others []core.Peer) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, p := range others {
		if at, found := f.lastContact[p.ID]; found && !at.Before(since) {
			n++
		}
	}
	return len(others) > 0 && n >= othersForQuorum(len(others))
}

// hasContactSince reports whether there has been contact with any peer that had a state since a time.
func (f *freshness) hasContactSince(since time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, at := range f.lastContact {
		if !at.Before(since) {
			return true
		}
	}
	return false
}

// othersForQuorum returns how many of the other members are needed for a quorum with this instance; it is at least one.
func othersForQuorum(others int) int { return max((others+2)/2-1, 1) }
