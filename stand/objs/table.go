package objs

import (
	"slices"
	"strings"

	"snipeshed/core"
)

// table is the store's state: the objects and the history of changes. An object's version is the revision of its last write.
type table struct {
	revision     core.Version
	objects      map[string]core.Object
	keys         []string // sorted
	history      []core.Change
	historyLimit int
	changed      chan struct{} // closed and replaced at each change
}

func newTable(limit int) *table {
	return &table{objects: map[string]core.Object{}, historyLimit: limit, changed: make(chan struct{})}
}

// put writes an object if its version is ifVersion, where 0 means that it must not exist.
// It returns the version of the object after the call and whether it was written.
func (t *table) put(key string, value []byte, ifVersion core.Version) (core.Version, bool) {
	old, exists := t.objects[key]
	if old.Version != ifVersion {
		return old.Version, false
	}
	if !exists {
		i, _ := slices.BinarySearch(t.keys, key)
		t.keys = slices.Insert(t.keys, i, key)
	}
	o := core.Object{Key: key, Value: value, Version: t.revision + 1}
	t.objects[key] = o
	t.appendChange(core.Change{Object: o})
	return o.Version, true
}

// remove deletes an object if its version is ifVersion. It returns the revision of the delete and true, or the object's
// version and false.
func (t *table) remove(key string, ifVersion core.Version) (core.Version, bool) {
	old, exists := t.objects[key]
	if !exists || old.Version != ifVersion {
		return old.Version, false
	}
	i, _ := slices.BinarySearch(t.keys, key)
	t.keys = slices.Delete(t.keys, i, i+1)
	delete(t.objects, key)
	t.appendChange(core.Change{Object: core.Object{Key: key, Version: t.revision + 1}, Deleted: true})
	return t.revision, true
}

func (t *table) appendChange(c core.Change) {
	t.revision++
	t.history = append(t.history, c)
	if len(t.history) > t.historyLimit {
		t.history = t.history[len(t.history)-t.historyLimit:]
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

// list returns up to limit objects whose key has the prefix and follows after, in key order, and whether there are more.
func (t *table) list(prefix, after string, limit int) (out []core.Object, more bool) {
	i, found := slices.BinarySearch(t.keys, max(prefix, after))
	if found && after >= prefix {
		i++
	}
	for ; i < len(t.keys) && strings.HasPrefix(t.keys[i], prefix); i++ {
		if len(out) == limit {
			return out, true
		}
		out = append(out, t.objects[t.keys[i]])
	}
	return out, false
}

// changesSince returns the changes after a revision to keys with the prefix, or false if the history no longer has them all.
func (t *table) changesSince(prefix string, rev core.Version) ([]core.Change, bool) {
	oldest := t.revision - core.Version(len(t.history))
	if rev < oldest {
		return nil, false
	}
	var out []core.Change
	for _, c := range t.history[min(rev-oldest, core.Version(len(t.history))):] {
		if strings.HasPrefix(c.Key, prefix) {
			out = append(out, c)
		}
	}
	return out, true
}
