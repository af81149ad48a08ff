package member

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"snipeshed/core"
	"snipeshed/wire"
)

// Kinds and states of entries in the instance list.
const (
	KindInstance = "snipeshed"
	KindEndpoint = "endpoint"
	StateLive    = "live"
	StateLeaving = "leaving"
	StateGone    = "gone"
)

// maxGoneEntries bounds the retained entries with the state gone; a reader whose
// revision is older than all of them gets the full list. At 1,200 replacements
// per day it covers most of a day.
const maxGoneEntries = 1024

var _ core.Members = (*Membership)(nil)

// Membership holds the instance list and the observed state of the instances; it is safe for concurrent use.
type Membership struct {
	self           core.Peer
	suspectTimeout time.Duration

	mu       sync.RWMutex
	entries  map[string]*wire.Instance
	revision uint64
	// prunedRevision is the highest revision of an entry that was pruned from entries.
	prunedRevision uint64
	selfReports    map[core.InstanceID]selfReport
	suspects       map[core.InstanceID]suspicion
	// fleet holds the listed instances of snipeshed that are not gone, and self, sorted by id.
	fleet []memberEntry
	// endpoints maps the address of each listed endpoint to whether an endpoint with this address is live.
	endpoints map[string]bool
}

// maxDoublings bounds the exponential backoff of a suspicion while the instance never answers. Without
// the backoff, a dead instance that is still listed would become the owner of its resources again every few seconds.
const maxDoublings = 3

// suspicion excludes an instance from Owners, Relays and Peers until a time; failures counts its failures since it last
// answered.
type suspicion struct {
	until    time.Time
	failures int
}

// memberEntry is an instance with the hash of its id and its state in the instance list.
type memberEntry struct {
	core.Peer
	hash uint64
	live bool
	// listed reports whether the list contains the instance; only this instance may be unlisted.
	listed bool
}

// New returns a Membership that knows only this instance.
func New(self core.Peer, suspectTimeout time.Duration) *Membership {
	m := &Membership{
		self: self, suspectTimeout: suspectTimeout,
		entries:     map[string]*wire.Instance{},
		selfReports: map[core.InstanceID]selfReport{},
		suspects:    map[core.InstanceID]suspicion{},
	}
	m.entries[string(self.ID)] = &wire.Instance{
		Id: string(self.ID), Address: self.Address, FailureDomain: string(self.FailureDomain),
		Kind: KindInstance, State: StateLive,
	}
	m.rebuild()
	return m
}

// Self returns this instance.
func (m *Membership) Self() core.Peer { return m.self }

// Owners returns up to n instances for a resource by rendezvous hashing, best first, without leaving and suspect ones.
func (m *Membership) Owners(now time.Time, resource string, n int) []core.Peer {
	m.mu.RLock()
	defer m.mu.RUnlock()
	best := m.highestScores(now, resource, n, func(memberEntry) bool { return true })
	if len(best) == 0 && n > 0 {
		// No member is eligible, so this instance serves the resource itself.
		return []core.Peer{m.self}
	}
	return best
}

// Relays returns up to k members of a failure domain that watch the platform on behalf of the others.
func (m *Membership) Relays(now time.Time, domain core.FailureDomain, k int) []core.Peer {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.highestScores(now, "relay/"+string(domain), k, func(entry memberEntry) bool { return entry.FailureDomain == domain })
}

// IsRelay reports whether this instance is one of the k relays of its failure domain.
func (m *Membership) IsRelay(now time.Time, k int) bool {
	return slices.ContainsFunc(m.Relays(now, m.self.FailureDomain, k), func(p core.Peer) bool { return p.ID == m.self.ID })
}

// MarkSuspect excludes an instance from Owners, Relays and Peers for a while because it did not answer.
func (m *Membership) MarkSuspect(now time.Time, id core.InstanceID) {
	if id == m.self.ID {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.suspects[id]
	if now.Before(s.until) {
		return // concurrent calls fail together and count as one failure
	}
	m.suspects[id] = suspicion{until: now.Add(m.suspectTimeout << min(s.failures, maxDoublings)), failures: s.failures + 1}
}

// ClearSuspicion clears the suspicion of an instance because it answered.
func (m *Membership) ClearSuspicion(id core.InstanceID) {
	m.mu.RLock()
	_, found := m.suspects[id]
	m.mu.RUnlock()
	if found {
		m.mu.Lock()
		delete(m.suspects, id)
		m.mu.Unlock()
	}
}

// EndpointLeaving reports whether the instance list says that the endpoint with this address is leaving or gone.
func (m *Membership) EndpointLeaving(address string) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	live, listed := m.endpoints[address]
	return listed && !live
}

// Peers returns the other members that are not suspect; it includes leaving ones, as they still answer.
func (m *Membership) Peers(now time.Time) []core.Peer {
	m.mu.RLock()
	defer m.mu.RUnlock()
	peers := make([]core.Peer, 0, len(m.fleet))
	for _, entry := range m.fleet {
		if entry.ID != m.self.ID && !m.isSuspect(now, entry.ID) {
			peers = append(peers, entry.Peer)
		}
	}
	return peers
}

// Peer returns a member by its id.
func (m *Membership) Peer(id core.InstanceID) (core.Peer, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	i, found := m.find(id)
	if !found {
		return core.Peer{}, false
	}
	return m.fleet[i].Peer, true
}

// ListedIDs returns the sorted ids of the listed members and the list's revision; all instances return the same ids at
// equal revisions above 0.
func (m *Membership) ListedIDs() ([]core.InstanceID, uint64) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	ids := make([]core.InstanceID, 0, len(m.fleet))
	for _, entry := range m.fleet {
		if entry.listed {
			ids = append(ids, entry.ID)
		}
	}
	return ids, m.revision
}

// LivePeers returns the other members that are live and not leaving, suspect ones included.
func (m *Membership) LivePeers() []core.Peer {
	m.mu.RLock()
	defer m.mu.RUnlock()
	others := make([]core.Peer, 0, len(m.fleet))
	for _, entry := range m.fleet {
		if entry.ID != m.self.ID && entry.live && !m.selfReports[entry.ID].leaving {
			others = append(others, entry.Peer)
		}
	}
	return others
}

func (m *Membership) find(id core.InstanceID) (int, bool) {
	return slices.BinarySearchFunc(m.fleet, id, func(entry memberEntry, id core.InstanceID) int { return cmp.Compare(entry.ID, id) })
}

func (m *Membership) isSuspect(now time.Time, id core.InstanceID) bool {
	return now.Before(m.suspects[id].until)
}

// highestScores returns up to n live instances for which fits returns true, without leaving and suspect ones, in the
// descending order of their rendezvous hashing scores for a resource.
func (m *Membership) highestScores(now time.Time, resource string, n int, fits func(memberEntry) bool) []core.Peer {
	type scored struct {
		score uint64
		peer  core.Peer
	}
	h := xxhash.Sum64String(resource)
	var top []scored
	for _, entry := range m.fleet {
		if !entry.live || m.selfReports[entry.ID].leaving || m.isSuspect(now, entry.ID) || !fits(entry) {
			continue
		}
		s := scored{score: score(entry.hash, h), peer: entry.Peer}
		i, _ := slices.BinarySearchFunc(top, s, func(a, b scored) int {
			return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.peer.ID, b.peer.ID))
		})
		if i < n {
			top = slices.Insert(top, i, s)
			top = top[:min(len(top), n)]
		}
	}
	peers := make([]core.Peer, len(top))
	for i, s := range top {
		peers[i] = s.peer
	}
	return peers
}

func score(member, resource uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], member)
	binary.LittleEndian.PutUint64(b[8:], resource)
	return xxhash.Sum64(b[:])
}
