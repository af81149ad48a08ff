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
	watchInterval = 10 * time.Millisecond
	// looksPerHeartbeat makes a heartbeat a second, as the object API does.
	looksPerHeartbeat = int(time.Second / watchInterval)
)

// Mem is a client of an object API in memory, which all its clients share.
type Mem struct {
	*table
	faults func(Call) Fault
	calls  map[Op]int // under table.mu
}

type table struct {
	turn    sync.Mutex // held while a fault is decided; taken before mu
	mu      sync.Mutex
	objects map[string]core.Object
	history []core.Change
	last    core.Version
	watches int
	down    bool
}

var _ core.Store = (*Mem)(nil)

// Option changes a Mem.
type Option func(*Mem)

// WithFaults sets the function that decides the fault of each call. Its calls do not overlap; it may use the methods of
// Mem that are not in core.Store.
func WithFaults(fn func(Call) Fault) Option { return func(m *Mem) { m.faults = fn } }

// New returns a client of a new, empty object API.
func New(opts ...Option) *Mem {
	return (&Mem{table: &table{objects: map[string]core.Object{}}}).Client(opts...)
}

// Client returns another client of the same objects, with its own faults and counts.
func (m *Mem) Client(opts ...Option) *Mem {
	c := &Mem{table: m.table, calls: map[Op]int{}}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Get returns an object, or core.ErrNotFound.
func (m *Mem) Get(ctx context.Context, key string) (o core.Object, err error) {
	err = m.do(ctx, Call{Op: OpGet, Key: key}, func() error {
		var found bool
		if o, found = m.Object(key); !found {
			return core.ErrNotFound
		}
		return nil
	})
	return o, err
}

// Put writes if the object's version is still ifVersion; 0 means that it must not exist.
func (m *Mem) Put(ctx context.Context, key string, value []byte, ifVersion core.Version) (core.Version, error) {
	value = bytes.Clone(value)
	var written core.Version
	err := m.do(ctx, Call{Op: OpPut, Key: key, Version: ifVersion}, func() error {
		v, err := m.change(OpPut, core.Change{Object: core.Object{Key: key, Value: value}}, ifVersion)
		written = v
		return err
	})
	if err != nil {
		return 0, err
	}
	return written, nil
}

// Delete removes the object if its version is still ifVersion.
func (m *Mem) Delete(ctx context.Context, key string, ifVersion core.Version) error {
	return m.do(ctx, Call{Op: OpDelete, Key: key, Version: ifVersion}, func() error {
		_, err := m.change(OpDelete, core.Change{Object: core.Object{Key: key}, Deleted: true}, ifVersion)
		return err
	})
}

func (m *Mem) change(op Op, c core.Change, ifVersion core.Version) (core.Version, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if o, found := m.objects[c.Key]; o.Version != ifVersion || (c.Deleted && !found) {
		return 0, &core.StoreError{Op: string(op), Key: c.Key, Cause: core.ErrVersion}
	}
	m.last++
	c.Version = m.last
	m.history = append(m.history, c)
	if c.Deleted {
		delete(m.objects, c.Key)
	} else {
		m.objects[c.Key] = c.Object
	}
	return c.Version, nil
}

// List returns at most limit objects with the prefix in key order after a key, and the revision of the answer.
func (m *Mem) List(ctx context.Context, prefix, after string, limit int) (list []core.Object, at core.Version, err error) {
	err = m.do(ctx, Call{Op: OpList, Key: prefix}, func() error {
		m.mu.Lock()
		defer m.mu.Unlock()
		at = m.last
		list = slices.DeleteFunc(m.list(prefix), func(o core.Object) bool { return o.Key <= after })
		list = list[:min(limit, len(list))]
		return nil
	})
	return list, at, err
}

// Watch looks for changes after the revision at short intervals and sends a heartbeat each second, until ctx ends or a
// look or fn fails.
func (m *Mem) Watch(ctx context.Context, prefix string, since core.Version, fn func(*core.Change) error) error {
	m.addWatch(1)
	defer m.addWatch(-1)
	for look := 1; ; look++ {
		if err := sleep(ctx, watchInterval); err != nil {
			return err
		}
		var changes []core.Change
		err := m.do(ctx, Call{Op: OpWatch, Key: prefix}, func() error {
			m.mu.Lock()
			defer m.mu.Unlock()
			changes = slices.Clone(m.history[min(since, m.last):]) // change n is at index n-1
			since = m.last
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
		if look%looksPerHeartbeat == 0 {
			if err := fn(nil); err != nil {
				return err
			}
		}
	}
}

func (m *Mem) addWatch(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.watches += n
}

// Up reports whether no outage is set.
func (m *Mem) Up() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.down
}

// SetDown begins or ends an outage, in which all clients' calls are refused without asking for their faults.
func (m *Mem) SetDown(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = on
}

func (m *Mem) count(op Op) (n int, down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls[op]++
	return m.calls[op], m.down
}

// Calls returns how many calls of an operation this client made, failed ones included.
func (m *Mem) Calls(op Op) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls[op]
}

// Watches returns how many watches of all clients are open.
func (m *Mem) Watches() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.watches
}

// Object returns an object without a call.
func (m *Mem) Object(key string) (core.Object, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, found := m.objects[key]
	return o, found
}

// Objects returns the objects with the prefix in key order without a call.
func (m *Mem) Objects(prefix string) []core.Object {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list(prefix)
}

// list needs mu.
func (t *table) list(prefix string) []core.Object {
	var list []core.Object
	for _, key := range slices.Sorted(maps.Keys(t.objects)) {
		if strings.HasPrefix(key, prefix) {
			list = append(list, t.objects[key])
		}
	}
	return list
}
