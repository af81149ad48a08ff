package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"snipeshed/core"
	"snipeshed/wire"
)

// Revision returns the revision up to which the instance list is known without gaps; 0 before the first list.
func (m *Membership) Revision() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.revision
}

// Merge merges entries that contain every change after since up to revision and reports whether any entry changed.
//
// For each entry, the higher revision wins. A since of 0 denotes the full list:
// entries that are missing from it are marked as gone.
func (m *Membership) Merge(entries []*wire.Instance, since, revision uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	changed := false
	for _, e := range entries {
		changed = m.setEntry(e) || changed
	}
	if since == 0 && revision > 0 && revision >= m.revision {
		changed = m.markAbsentGone(entries, revision) || changed
	}
	if since <= m.revision && revision > m.revision {
		m.revision = revision
	}
	m.pruneGone()
	if changed {
		m.rebuild()
	}
	return changed
}

// ChangesSince returns the entries that changed after a revision, with the range of revisions that they cover; a range
// from 0 is the full list.
func (m *Membership) ChangesSince(revision uint64) (entries []*wire.Instance, since, upTo uint64) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	full := revision == 0 || revision < m.prunedRevision
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

func (m *Membership) setEntry(e *wire.Instance) bool {
	old, found := m.entries[e.GetId()]
	switch {
	case found && e.GetRevision() <= old.GetRevision():
		return false
	case !found && m.revision > 0 && e.GetRevision() <= m.revision:
		// The list is known up to m.revision, so this entry has been pruned since.
		return false
	}
	m.entries[e.GetId()] = e
	return !found || old.GetAddress() != e.GetAddress() || old.GetFailureDomain() != e.GetFailureDomain() ||
		old.GetKind() != e.GetKind() || old.GetState() != e.GetState()
}

// markAbsentGone marks entries as gone that are missing from a full list and not newer than it.
func (m *Membership) markAbsentGone(entries []*wire.Instance, revision uint64) bool {
	present := make(map[string]bool, len(entries))
	for _, e := range entries {
		present[e.GetId()] = true
	}
	changed := false
	for id, e := range m.entries {
		// A starting instance may be missing from a lagging list, so it never removes itself.
		if present[id] || e.GetState() == StateGone || e.GetRevision() > revision || id == string(m.self.ID) {
			continue
		}
		m.entries[id] = &wire.Instance{
			Id: id, Address: e.GetAddress(), FailureDomain: e.GetFailureDomain(),
			Kind: e.GetKind(), State: StateGone, Revision: revision,
		}
		changed = true
	}
	return changed
}

// pruneGone deletes the oldest entries with the state gone above maxGoneEntries.
func (m *Membership) pruneGone() {
	var gone []*wire.Instance
	for _, e := range m.entries {
		if e.GetState() == StateGone && e.GetId() != string(m.self.ID) {
			gone = append(gone, e)
		}
	}
	if len(gone) <= maxGoneEntries {
		return
	}
	slices.SortFunc(gone, func(a, b *wire.Instance) int { return cmp.Compare(a.GetRevision(), b.GetRevision()) })
	for _, e := range gone[:len(gone)-maxGoneEntries] {
		delete(m.entries, e.GetId())
		m.prunedRevision = max(m.prunedRevision, e.GetRevision())
	}
}

// rebuild recomputes fleet and endpoints from the entries.
func (m *Membership) rebuild() {
	m.fleet = nil
	m.endpoints = map[string]bool{}
	for _, e := range m.entries {
		live := e.GetState() == StateLive
		if e.GetKind() == KindEndpoint {
			// A new endpoint may have reused the address.
			m.endpoints[e.GetAddress()] = m.endpoints[e.GetAddress()] || live
			continue
		}
		id := core.InstanceID(e.GetId())
		if e.GetState() == StateGone {
			delete(m.selfReports, id)
			delete(m.suspects, id)
			if id != m.self.ID {
				continue
			}
		}
		entry := memberEntry{hash: xxhash.Sum64String(e.GetId()), live: live, Peer: m.self}
		entry.listed = e.GetRevision() > 0 && e.GetState() != StateGone
		if id != m.self.ID {
			entry.Peer = core.Peer{ID: id, Address: e.GetAddress(), FailureDomain: core.FailureDomain(e.GetFailureDomain())}
		}
		m.fleet = append(m.fleet, entry)
	}
	slices.SortFunc(m.fleet, func(a, b memberEntry) int { return cmp.Compare(a.ID, b.ID) })
}
