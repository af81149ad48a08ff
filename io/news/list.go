package news

import (
	"bytes"

	"snipeshed/core"
	"snipeshed/wire"
)

// maxRemoved bounds the removals that are remembered for instances that lack them.
const maxRemoved = 1000

// list is the entries of endpoints with the revisions of their last changes, so that another instance gets only what
// it lacks.
type list struct {
	base    core.Version // changes after it are complete
	entries map[string]entry
	removed map[string]core.Version
}

type entry struct {
	raw      []byte
	revision core.Version
}

func newList(base core.Version) *list {
	return &list{base: base, entries: map[string]entry{}, removed: map[string]core.Version{}}
}

// set takes an entry, or its removal when raw is nil.
func (l *list) set(revision core.Version, name string, raw []byte) {
	if raw != nil {
		l.entries[name] = entry{raw: raw, revision: revision}
		delete(l.removed, name)
		return
	}
	delete(l.entries, name)
	if len(l.removed) >= maxRemoved {
		l.removed, l.base = map[string]core.Version{}, revision
	}
	l.removed[name] = revision
}

// replace takes the whole list at a revision.
func (l *list) replace(revision core.Version, raw map[string][]byte) {
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

// fill adds what changed after a revision, or the whole list when that is not known any more.
func (l *list) fill(out *wire.News, since core.Version) {
	out.Delta = since > 0 && since >= l.base
	for name, e := range l.entries {
		if !out.Delta || e.revision > since {
			out.Endpoints = append(out.Endpoints, &wire.Record{Name: name, Value: e.raw})
		}
	}
	if !out.Delta {
		return
	}
	for name, revision := range l.removed {
		if revision > since {
			out.Removed = append(out.Removed, name)
		}
	}
}
