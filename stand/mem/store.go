package mem

import (
	"bytes"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"snipeshed/core"
)

const (
	watchPollInterval = 10 * time.Millisecond
	// pollsPerHeartbeat gives one heartbeat a second, like the object API.
	pollsPerHeartbeat = int(time.Second / watchPollInterval)
)

// Store is a client of an in-memory object store. Clients of the same store share its objects.
type Store struct {
	*table
	faults func(Call) Fault
	calls  map[Op]int // guarded by table.mu
}

type table struct {
	faultMu  sync.Mutex // serializes calls with faults except while they wait; locked before mu
	mu       sync.Mutex
	objects  map[string]core.Object
	history  []core.Change
	revision core.Version
	watches  int
	down     bool
}

var _ core.Store = (*Store)(nil)

// Option configures a Store.
type Option func(*Store)

// WithFaults sets a function that returns the fault for each call. It is never called concurrently, and may use the methods
// of Store that are not part of core.Store.
func WithFaults(fn func(Call) Fault) Option { return func(m *Store) { m.faults = fn } }

// New returns a client of a new, empty store.
func New(opts ...Option) *Store {
	return (&Store{table: &table{objects: map[string]core.Object{}}}).Client(opts...)
}

// Client returns another client of the same store, with its own faults and call counts.
func (m *Store) Client(opts ...Option) *Store {
	c := &Store{table: m.table, calls: map[Op]int{}}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Get returns an object, or core.ErrNotFound.
func (m *Store) Get(ctx context.Context, key string) (o core.Object, err error) {
	err = m.runCall(ctx, Call{Op: OpGet, Key: key}, func() error {
		var found bool
		if o, found = m.Object(key); !found {
			return core.ErrNotFound
		}
		return nil
	})
	return o, err
}

// Put writes an object if its version is ifVersion, where 0 means that it must not exist.
func (m *Store) Put(ctx context.Context, key string, value []byte, ifVersion core.Version) (core.Version, error) {
	value = bytes.Clone(value)
	var written core.Version
	err := m.runCall(ctx, Call{Op: OpPut, Key: key, Version: ifVersion}, func() error {
		v, err := m.write(OpPut, core.Change{Object: core.Object{Key: key, Value: value}}, ifVersion)
		written = v
		return err
	})
	if err != nil {
		return 0, err
	}
	return written, nil
}

// Delete removes an object if its version is ifVersion.
func (m *Store) Delete(ctx context.Context, key string, ifVersion core.Version) error {
	return m.runCall(ctx, Call{Op: OpDelete, Key: key, Version: ifVersion}, func() error {
		_, err := m.write(OpDelete, core.Change{Object: core.Object{Key: key}, Deleted: true}, ifVersion)
		return err
	})
}

func (m *Store) write(op Op, c core.Change, ifVersion core.Version) (core.Version, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if o, found := m.objects[c.Key]; o.Version != ifVersion || (c.Deleted && !found) {
		return 0, &core.StoreError{Op: string(op), Key: c.Key, Cause: core.ErrVersionMismatch}
	}
	m.revision++
	c.Version = m.revision
	m.history = append(m.history, c)
	if c.Deleted {
		delete(m.objects, c.Key)
	} else {
		m.objects[c.Key] = c.Object
	}
	return c.Version, nil
}

// List returns at most limit objects whose key has the prefix and follows after, in key order, and the store's revision.
func (m *Store) List(ctx context.Context, prefix, after string, limit int) (list []core.Object, at core.Version, err error) {
	err = m.runCall(ctx, Call{Op: OpList, Key: prefix}, func() error {
		m.mu.Lock()
		defer m.mu.Unlock()
		at = m.revision
		list = slices.DeleteFunc(m.listLocked(prefix), func(o core.Object) bool { return o.Key <= after })
		list = list[:min(limit, len(list))]
		return nil
	})
	return list, at, err
}

// Watch polls for changes after a revision and calls fn for each, and with nil as a heartbeat each second. It returns an
// error when ctx ends or a poll or fn fails.
func (m *Store) Watch(ctx context.Context, prefix string, since core.Version, fn func(*core.Change) error) error {
	m.addWatch(1)
	defer m.addWatch(-1)
	for poll := 1; ; poll++ {
		if err := sleep(ctx, watchPollInterval); err != nil {
			return err
		}
		var changes []core.Change
		err := m.runCall(ctx, Call{Op: OpWatch, Key: prefix}, func() error {
			m.mu.Lock()
			defer m.mu.Unlock()
			changes = slices.Clone(m.history[min(since, m.revision):]) // the change of revision n is at index n-1
			since = m.revision
			return nil
		})
		if err != nil {
			return err
		}
		for i := range changes {
			if !strings.HasPrefix(changes[i].Key, prefix) {
				continue
			}
			if err := fn(&changes[i]); err != nil {
				return err
			}
		}
		if poll%pollsPerHeartbeat == 0 {
			if err := fn(nil); err != nil {
				return err
			}
		}
	}
}

func (m *Store) addWatch(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.watches += n
}

// Reachable reports whether the store is up, see SetDown.
func (m *Store) Reachable() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.down
}

// SetDown starts or ends an outage, in which the calls of all clients fail without effect and WithFaults is not consulted.
func (m *Store) SetDown(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = on
}

func (m *Store) countCall(op Op) (n int, down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls[op]++
	return m.calls[op], m.down
}

// Calls returns the number of this client's calls of an operation, including failed ones.
func (m *Store) Calls(op Op) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls[op]
}

// Watches returns the number of open watches of all clients.
func (m *Store) Watches() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.watches
}

// Object returns an object and reports whether it exists. It does not count as a call and has no faults.
func (m *Store) Object(key string) (core.Object, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, found := m.objects[key]
	return o, found
}

// Objects returns the objects whose key has the prefix, in key order. It does not count as a call and has no faults.
func (m *Store) Objects(prefix string) []core.Object {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listLocked(prefix)
}

// listLocked returns the objects whose key has the prefix, in key order. It requires t.mu.
func (t *table) listLocked(prefix string) []core.Object {
	var list []core.Object
	for _, key := range slices.Sorted(maps.Keys(t.objects)) {
		if strings.HasPrefix(key, prefix) {
			list = append(list, t.objects[key])
		}
	}
	return list
}
