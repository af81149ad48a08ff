package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"snipeshed/core"
	"snipeshed/wire"
)

// Revision returns the revision of the instance list up to which nothing is missing; 0 before the first list.
func (m *Member) Revision() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.revision
}

// Fold takes entries that hold every change after since up to revision and reports whether any was news.
//
// An entry states what the list held at the entry's revision, so the higher
// revision wins. A fold with since 0 is the full list: what it does not hold is gone.
func (m *Member) Fold(entries []*wire.Instance, since, revision uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	news := false
	for _, e := range entries {
		news = m.set(e) || news
	}
	if since == 0 && revision > 0 && revision >= m.revision {
		news = m.dropAbsent(entries, revision) || news
	}
	if since <= m.revision && revision > m.revision {
		m.revision = revision
	}
	m.prune()
	if news {
		m.rebuild()
	}
	return news
}

// Since returns the entries that changed after a revision, with the range of revisions that they cover.
func (m *Member) Since(revision uint64) (entries []*wire.Instance, since, upTo uint64) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	full := revision == 0 || revision < m.floor
	for _, e := range m.entries {
		if full && e.GetState() != StateGone || !full && e.GetRevision() > revision {
			entries = append(entries, e)
		}
	}
	slices.SortFunc(entries, func(a, b *wire.Instance) int { return cmp.Compare(a.GetId(), b.GetId()) })
	if full {
		return entries, 0, m.revision
	}
	return entries, revision, m.revision
}

func (m *Member) set(e *wire.Instance) bool {
	old, found := m.entries[e.GetId()]
	switch {
	case found && e.GetRevision() <= old.GetRevision():
		return false
	case !found && m.revision > 0 && e.GetRevision() <= m.revision:
		// Everything up to m.revision is known, so this entry has been dropped since.
		return false
	}
	m.entries[e.GetId()] = e
	return !found || old.GetAddress() != e.GetAddress() || old.GetFailureDomain() != e.GetFailureDomain() ||
		old.GetKind() != e.GetKind() || old.GetState() != e.GetState()
}

func (m *Member) dropAbsent(entries []*wire.Instance, revision uint64) bool {
	present := make(map[string]bool, len(entries))
	for _, e := range entries {
		present[e.GetId()] = true
	}
	news := false
	for id, e := range m.entries {
		// A starting instance is not in a lagging list yet, so it keeps itself.
		if present[id] || e.GetState() == StateGone || e.GetRevision() > revision || id == string(m.self.ID) {
			continue
		}
		m.entries[id] = &wire.Instance{
			Id: id, Address: e.GetAddress(), FailureDomain: e.GetFailureDomain(),
			Kind: e.GetKind(), State: StateGone, Revision: revision,
		}
		news = true
	}
	return news
}

func (m *Member) prune() {
	var gone []*wire.Instance
	for _, e := range m.entries {
		if e.GetState() == StateGone && e.GetId() != string(m.self.ID) {
			gone = append(gone, e)
		}
	}
	if len(gone) <= maxGone {
		return
	}
	slices.SortFunc(gone, func(a, b *wire.Instance) int { return cmp.Compare(a.GetRevision(), b.GetRevision()) })
	for _, e := range gone[:len(gone)-maxGone] {
		delete(m.entries, e.GetId())
		m.floor = max(m.floor, e.GetRevision())
	}
}

// rebuild derives the fleet and the endpoints' states from the entries.
func (m *Member) rebuild() {
	m.fleet = nil
	m.endpoints = map[string]bool{}
	for _, e := range m.entries {
		live := e.GetState() == StateLive
		if e.GetKind() == KindEndpoint {
			// An address may have been taken over by a new endpoint.
			m.endpoints[e.GetAddress()] = m.endpoints[e.GetAddress()] || live
			continue
		}
		id := core.InstanceID(e.GetId())
		if e.GetState() == StateGone {
			delete(m.words, id)
			delete(m.suspects, id)
			if id != m.self.ID {
				continue
			}
		}
		r := ranked{hash: xxhash.Sum64String(e.GetId()), live: live, Peer: m.self}
		r.listed = e.GetRevision() > 0 && e.GetState() != StateGone
		if id != m.self.ID {
			r.Peer = core.Peer{ID: id, Address: e.GetAddress(), FailureDomain: core.FailureDomain(e.GetFailureDomain())}
		}
		m.fleet = append(m.fleet, r)
	}
	slices.SortFunc(m.fleet, func(a, b ranked) int { return cmp.Compare(a.ID, b.ID) })
}
