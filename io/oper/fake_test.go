package oper_test

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"

	"snipeshed/conf"
	"snipeshed/core"
	"snipeshed/core/state"
	"snipeshed/io/oper"
	"snipeshed/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fault is what happens to one call of the fake store.
type fault int

const (
	faultNone fault = iota
	// faultRefused fails without effect.
	faultRefused
	// faultLost takes effect, but the answer is lost.
	faultLost
	// faultDropped loses the request, which looks the same to the caller.
	faultDropped
	// faultLate loses the request for now; it takes effect after the next two calls.
	faultLate
	// faultOutage takes effect, but the answer is lost and the store is down from then on.
	faultOutage
)

var errInjected = errors.New("injected")

// fake is an object API in memory with faults.
type fake struct {
	mu      sync.Mutex
	objects map[string]core.Object
	version core.Version
	down    bool
	puts    []fault // of the next writes
	lists   []fault // of the next lists
	onFail  func()  // runs once after the next failed write
	rng     *rand.Rand
	late    []func()
}

func newFake() *fake { return &fake{objects: map[string]core.Object{}} }

// next applies late writes that are due and returns the fault of the next call.
func (f *fake) next(write bool) fault {
	if len(f.late) > 2 {
		f.late[0]()
		f.late = f.late[1:]
	}
	switch {
	case f.down:
		return faultRefused
	case f.rng != nil && f.rng.IntN(3) == 0:
		return fault(f.rng.IntN(int(faultLate) + 1))
	case write && len(f.puts) > 0:
		c := f.puts[0]
		f.puts = f.puts[1:]
		return c
	}
	return faultNone
}

// delay lets concurrent callers interleave.
func (f *fake) delay() {
	if f.rng != nil {
		f.mu.Lock()
		d := time.Duration(f.rng.IntN(50)) * time.Millisecond
		f.mu.Unlock()
		time.Sleep(d)
	}
}

func (f *fake) Get(_ context.Context, key string) (core.Object, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.next(false) != faultNone {
		return core.Object{}, &core.StoreError{Op: "get", Key: key, Cause: errInjected}
	}
	if o, ok := f.objects[key]; ok {
		return o, nil
	}
	return core.Object{}, core.ErrNotFound
}

func (f *fake) Put(_ context.Context, key string, value []byte, ifVersion core.Version) (core.Version, error) {
	v, err := f.put(key, value, ifVersion)
	if fn := f.onFail; err != nil && fn != nil {
		f.onFail = nil
		fn()
	}
	return v, err
}

func (f *fake) put(key string, value []byte, ifVersion core.Version) (core.Version, error) {
	f.delay()
	defer f.delay()
	f.mu.Lock()
	defer f.mu.Unlock()
	unknown := &core.StoreError{Op: "put", Key: key, Effect: core.EffectUnknown, Cause: errInjected}
	switch f.next(true) {
	case faultRefused:
		return 0, &core.StoreError{Op: "put", Key: key, Cause: errInjected}
	case faultDropped:
		return 0, unknown
	case faultLate:
		f.late = append(f.late, func() { _ = f.write(key, value, ifVersion) }, func() {})
		return 0, unknown
	case faultOutage:
		f.down = true
		fallthrough
	case faultLost:
		_ = f.write(key, value, ifVersion)
		return 0, unknown
	}
	return f.version, f.write(key, value, ifVersion)
}

func (f *fake) write(key string, value []byte, ifVersion core.Version) error {
	if f.objects[key].Version != ifVersion {
		return &core.StoreError{Op: "put", Key: key, Cause: core.ErrVersion}
	}
	f.version++
	f.objects[key] = core.Object{Key: key, Value: value, Version: f.version}
	return nil
}

func (f *fake) Delete(_ context.Context, key string, _ core.Version) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.objects, key)
	return nil
}

func (f *fake) List(_ context.Context, prefix, after string, limit int) ([]core.Object, core.Version, error) {
	f.delay()
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.next(false)
	if len(f.lists) > 0 {
		c, f.lists = f.lists[0], f.lists[1:]
	}
	if c != faultNone {
		return nil, 0, &core.StoreError{Op: "list", Key: prefix, Cause: errInjected}
	}
	return f.list(prefix, after, limit), f.version, nil
}

func (f *fake) list(prefix, after string, limit int) []core.Object {
	var found []core.Object
	for key, o := range f.objects {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, o)
		}
	}
	slices.SortFunc(found, func(a, b core.Object) int { return strings.Compare(a.Key, b.Key) })
	return found[:min(limit, len(found))]
}

func (f *fake) Watch(context.Context, string, core.Version, func(*core.Change) error) error {
	return errInjected
}

func (f *fake) Up() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.down
}

// log returns the ids of the tickets in the log.
func (f *fake) log(t *testing.T) []string {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	ids := []string{}
	for _, o := range f.list(state.TicketPrefix, "", len(f.objects)) {
		ticket, err := state.DecodeTicket(o.Key, o.Value)
		is.New(t).NoErr(err)
		ids = append(ids, ticket.GetId())
	}
	return ids
}

func shared() core.Shared {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return core.NewShared(logrus.NewEntry(log))
}

// start returns the operators' API of a new instance with an empty state.
func start(st core.Store, opts ...oper.Option) (*oper.Oper, *state.State) {
	s := state.New()
	cfg := &conf.Settings{Instance: "self", FailureDomain: "a", MaxBodyBytes: 1 << 20}
	return oper.New(shared(), cfg, st, s, opts...), s
}

func rank(name string, priority int64) *wire.Item {
	return &wire.Item{Body: &wire.Item_Rank{Rank: &wire.Rank{Name: name, Priority: priority}}}
}

func team(name, rank string) *wire.Item {
	return &wire.Item{Body: &wire.Item_Team{Team: &wire.Team{
		Name: name, Keys: []*wire.Key{{Sha256: strings.Repeat("a", 64), Rank: rank}},
	}}}
}

func removal(key string) *wire.Item {
	return &wire.Item{Body: &wire.Item_Remove{Remove: &wire.Removal{Item: key}}}
}

func ticket(id string, base uint64, items ...*wire.Item) *wire.Ticket {
	return &wire.Ticket{Id: id, Base: base, Author: "author-" + id, Items: items}
}
