package news

import (
	"bytes"

	"snipeshed/core"
	"snipeshed/wire"
)

// maxRemovals bounds the removals that are kept for deltas.
const maxRemovals = 1000

// endpointList holds the raw endpoint entries with the revisions of their last changes, so that another instance can be
// sent only what has changed since its revision. It belongs to one era of the store: of two lists of different eras it is not known
// what has changed in between.
type endpointList struct {
	base    core.Revision // all changes after this revision are known
	entries map[string]listEntry
	removed map[string]core.Revision
}

type listEntry struct {
	raw      []byte
	revision core.Revision
}

func newEndpointList(base core.Revision) *endpointList {
	return &endpointList{base: base, entries: map[string]listEntry{}, removed: map[string]core.Revision{}}
}

// set stores an entry, or its removal when raw is nil.
func (l *endpointList) set(revision core.Revision, name string, raw []byte) {
	if raw != nil {
		l.entries[name] = listEntry{raw: raw, revision: revision}
		delete(l.removed, name)
		return
	}
	delete(l.entries, name)
	if len(l.removed) >= maxRemovals {
		l.removed, l.base = map[string]core.Revision{}, revision
	}
	l.removed[name] = revision
}

// replace makes raw the whole list; entries that differ from the present ones get the given revision.
func (l *endpointList) replace(revision core.Revision, raw map[string][]byte) {
	for name := range l.entries {
		if raw[name] == nil {
			l.set(revision, name, nil)
		}
	}
	for name, b := range raw {
		if old, ok := l.entries[name]; !ok || !bytes.Equal(old.raw, b) {
			l.set(revision, name, b)
		}
	}
}

// fillSince adds the changes after a revision to out, or the whole list when these are no longer all known.
func (l *endpointList) fillSince(out *wire.News, since core.Revision) {
	out.Delta = !since.IsZero() && !l.base.After(since)
	for name, e := range l.entries {
		if !out.Delta || e.revision.After(since) {
			out.Endpoints = append(out.Endpoints, &wire.Record{Name: name, Value: e.raw})
		}
	}
	if !out.Delta {
		return
	}
	for name, revision := range l.removed {
		if revision.After(since) {
			out.Removed = append(out.Removed, name)
		}
	}
}
