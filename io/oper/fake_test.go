package oper_test

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
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
	"snipeshed/stand/mem"
	"snipeshed/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fault is a fault injected into one call of the store.
type fault int

const (
	faultNone fault = iota
	// faultRefused fails the call without effect.
	faultRefused
	// faultLost loses the response of a call that takes effect.
	faultLost
	// faultDropped loses the request, which the caller cannot tell from faultLost.
	faultDropped
	// faultDelayed fails the call, which takes effect after the next two calls.
	faultDelayed
	// faultOutage loses the response of a call that takes effect; the store is down from then on.
	faultOutage
)

var errInjected = errors.New("injected")

// faultyStore is an in-memory object API with injected faults.
type faultyStore struct {
	*mem.Store
	mu      sync.Mutex
	puts    []fault    // of the next writes
	lists   []fault    // of the next lists
	onFail  func()     // runs once after the next failed write
	rng     *rand.Rand // if set, adds random faults and delays
	delayed []func()   // effects of delayed writes, each followed by an empty entry
}

func newFaultyStore() *faultyStore {
	f := &faultyStore{}
	f.Store = mem.New(mem.WithFaults(f.fault))
	return f
}

// nextFault applies delayed writes that are due and returns the fault of the next call.
func (f *faultyStore) nextFault(write bool) fault {
	if len(f.delayed) > 2 {
		f.delayed[0]()
		f.delayed = f.delayed[1:]
	}
	switch {
	case f.rng != nil && f.rng.IntN(3) == 0:
		return fault(f.rng.IntN(int(faultDelayed) + 1))
	case write && len(f.puts) > 0:
		c := f.puts[0]
		f.puts = f.puts[1:]
		return c
	}
	return faultNone
}

func (f *faultyStore) fault(c mem.Call) mem.Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	fault := f.nextFault(c.Op == mem.OpPut)
	if c.Op == mem.OpList && len(f.lists) > 0 {
		fault, f.lists = f.lists[0], f.lists[1:]
	}
	switch fault {
	case faultRefused:
		return mem.Fault{Refuse: true}
	case faultDropped:
		return mem.Fault{Drop: true}
	case faultDelayed:
		return mem.Fault{DeferEffect: func(effect func()) { f.delayed = append(f.delayed, effect, func() {}) }}
	case faultOutage:
		f.SetDown(true)
		return mem.Fault{Err: errInjected}
	case faultLost:
		return mem.Fault{Err: errInjected}
	}
	return mem.Fault{}
}

// delay sleeps for a random time, so that concurrent callers interleave.
func (f *faultyStore) delay() {
	if f.rng != nil {
		f.mu.Lock()
		d := time.Duration(f.rng.IntN(50)) * time.Millisecond
		f.mu.Unlock()
		time.Sleep(d)
	}
}

func (f *faultyStore) Put(ctx context.Context, key string, value []byte, ifVersion core.Version) (core.Version, error) {
	f.delay()
	v, err := f.Store.Put(ctx, key, value, ifVersion)
	f.delay()
	if fn := f.onFail; err != nil && fn != nil {
		f.onFail = nil
		fn()
	}
	return v, err
}

func (f *faultyStore) List(ctx context.Context, prefix, after string, limit int) ([]core.Object, core.Version, error) {
	f.delay()
	return f.Store.List(ctx, prefix, after, limit)
}

// removeTicket deletes a ticket, as trimming the log does.
func (f *faultyStore) removeTicket(t *testing.T, n core.TicketNumber) {
	t.Helper()
	o, _ := f.Object(state.TicketKey(n))
	is.New(t).NoErr(f.Delete(t.Context(), o.Key, o.Version))
}

// ticketIDs returns the ids of the tickets in the log.
func (f *faultyStore) ticketIDs(t *testing.T) []string {
	t.Helper()
	ids := []string{}
	for _, o := range f.Objects(state.TicketPrefix) {
		ticket, err := state.DecodeTicket(o.Key, o.Value)
		is.New(t).NoErr(err)
		ids = append(ids, ticket.GetId())
	}
	return ids
}

func shared() core.Common {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return core.NewCommon(logrus.NewEntry(log))
}

// start returns the operators' API and the empty state of a new instance.
func start(st core.Store, opts ...oper.Option) (*oper.Server, *state.State) {
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
