package weight_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"snipeshed/core"
	"snipeshed/io/weight"
	"snipeshed/stand/mem"
)

// objectAPI is an object API whose calls take a millisecond; writeOutcome returns the outcome of each write.
type objectAPI struct {
	*mem.Store
	writeOutcome func(put int) writeOutcome
	delayedWrite func()
}

type writeOutcome int

const (
	writeSucceeds writeOutcome = iota
	answerLost
	writeDelayed
)

var errDown = errors.New("down")

func newObjectAPI() *objectAPI {
	m := &objectAPI{}
	m.Store = mem.New(mem.WithFaults(m.fault))
	return m
}

func (m *objectAPI) fault(c mem.Call) mem.Fault {
	f := mem.Fault{Delay: time.Millisecond}
	if c.Op != mem.OpPut || m.writeOutcome == nil {
		return f
	}
	switch m.writeOutcome(c.Number) {
	case answerLost:
		f.Err = errDown
	case writeDelayed:
		f.DeferEffect = func(effect func()) { m.delayedWrite = effect }
	}
	return f
}

func (m *objectAPI) puts() int { return m.Calls(mem.OpPut) }

type counterMap struct {
	mu sync.Mutex
	n  map[string]int
}

func (c *counterMap) Count(name string) { c.mu.Lock(); defer c.mu.Unlock(); c.n[name]++ }

const lease = 10 * time.Second

type testFleet struct {
	store    *objectAPI
	counters *counterMap
}

// instance returns a client of the slots in a process of its own.
func (f *testFleet) instance(id string) *weight.SlotPool {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return weight.New(core.NewCommon(logrus.NewEntry(log)), f.store, core.InstanceID(id), weight.WithSlots(2),
		weight.WithLease(lease), weight.WithCounters(f.counters), weight.WithFullCacheTime(100*time.Millisecond))
}

// TestSlots guards against more concurrent loads than slots, and against slots that are never freed.
func TestSlots(t *testing.T) {
	ctx := context.Background()
	full := func(is *is.I, p *weight.SlotPool) {
		is.Helper()
		_, err := p.Acquire(ctx, "probe")
		is.True(errors.Is(err, core.ErrNoSlot))
		time.Sleep(200 * time.Millisecond) // until Acquire reads the slot table again
	}
	endpoints := 0
	take := func(is *is.I, p *weight.SlotPool) core.SlotLease {
		is.Helper()
		endpoints++
		l, err := p.Acquire(ctx, core.EndpointID(fmt.Sprint("endpoint-", endpoints)))
		is.NoErr(err)
		is.True(time.Until(l.Until) > 0 && time.Until(l.Until) <= lease)
		return l
	}
	for name, run := range map[string]func(is *is.I, f *testFleet, a, b *weight.SlotPool){
		"limit, release, two writes per load": func(is *is.I, f *testFleet, a, b *weight.SlotPool) {
			first := take(is, a)
			take(is, b)
			full(is, a)
			full(is, b)
			is.NoErr(a.Release(ctx, first))
			take(is, b)
			is.Equal(f.store.puts(), 4)
		},
		"many concurrent holders": func(is *is.I, f *testFleet, _, _ *weight.SlotPool) {
			var wg sync.WaitGroup
			var mu sync.Mutex
			got := 0
			for i := range 20 {
				in := f.instance(fmt.Sprint(i))
				wg.Go(func() {
					if _, err := in.Acquire(ctx, core.EndpointID(fmt.Sprint("endpoint-", i))); err == nil {
						mu.Lock()
						got++
						mu.Unlock()
					}
				})
			}
			wg.Wait()
			is.Equal(got, 2)
		},
		"two owners of one endpoint need one slot": func(is *is.I, f *testFleet, a, b *weight.SlotPool) {
			l, err := a.Acquire(ctx, "endpoint")
			is.NoErr(err)
			_, err = b.Acquire(ctx, "endpoint")
			is.True(errors.Is(err, core.ErrNoSlot))
			take(is, b) // for another endpoint, although Acquire just returned ErrNoSlot
			is.NoErr(a.Release(ctx, l))
			_, err = b.Acquire(ctx, "endpoint")
			is.NoErr(err)
			is.Equal(f.store.puts(), 4)
		},
		"lost answer is read back": func(is *is.I, f *testFleet, a, b *weight.SlotPool) {
			f.store.writeOutcome = func(int) writeOutcome { return answerLost }
			l := take(is, a)
			take(is, b)
			full(is, a)
			is.NoErr(a.Release(ctx, l))
			take(is, b)
			is.Equal(f.store.puts(), 4)
		},
		"lost answer and failed read: the slot is found again": func(is *is.I, f *testFleet, a, b *weight.SlotPool) {
			f.store.writeOutcome = func(put int) writeOutcome { f.store.SetDown(put == 1); return answerLost }
			_, err := a.Acquire(ctx, "endpoint")
			is.True(err != nil)
			f.store.SetDown(false)
			f.store.writeOutcome = nil
			take(is, a)
			is.Equal(f.store.puts(), 1)
			take(is, b)
			full(is, b)
		},
		"write that arrives late does not take a second slot": func(is *is.I, f *testFleet, a, b *weight.SlotPool) {
			f.store.writeOutcome = func(put int) writeOutcome {
				if put == 1 {
					return writeDelayed
				}
				return writeSucceeds
			}
			take(is, a)
			f.store.delayedWrite()
			take(is, b)
			full(is, a)
		},
		"killed holder's slot is free after the lease": func(is *is.I, f *testFleet, a, b *weight.SlotPool) {
			take(is, a)
			take(is, a)
			full(is, b) // observes both leases
			time.Sleep(lease - time.Second)
			full(is, b)
			time.Sleep(time.Second)
			take(is, b)
			is.Equal(f.counters.n[weight.CountExpired], 2)
		},
		"new observer waits a whole lease": func(is *is.I, f *testFleet, a, b *weight.SlotPool) {
			take(is, a)
			take(is, a)
			time.Sleep(2 * lease)
			full(is, b)
			time.Sleep(lease)
			take(is, b)
		},
		"renewed lease is kept": func(is *is.I, f *testFleet, a, b *weight.SlotPool) {
			l, m := take(is, a), take(is, a)
			for range 10 {
				time.Sleep(lease / 2)
				var err error
				l, err = a.Renew(ctx, l)
				is.NoErr(err)
				m, err = a.Renew(ctx, m)
				is.NoErr(err)
				full(is, b)
			}
		},
		"renewal with lost answer counts once": func(is *is.I, f *testFleet, a, b *weight.SlotPool) {
			l := take(is, a)
			f.store.writeOutcome = func(int) writeOutcome { return answerLost }
			time.Sleep(lease / 2)
			l, err := a.Renew(ctx, l)
			is.NoErr(err)
			is.True(time.Until(l.Until) > lease-time.Second)
			is.Equal(f.store.puts(), 2)
		},
		"holder paused past its lease exceeds the limit by one and detects it": func(is *is.I, f *testFleet, a, b *weight.SlotPool) {
			l := take(is, a)
			take(is, b)
			full(is, b)
			time.Sleep(lease + time.Second)
			take(is, b)
			_, err := a.Renew(ctx, l)
			is.True(errors.Is(err, core.ErrNoSlot))
			is.NoErr(a.Release(ctx, l))
			is.Equal(f.counters.n[weight.CountOverrun], 1)
		},
		"store down: no slot, and the next update completes a failed release": func(is *is.I, f *testFleet, a, b *weight.SlotPool) {
			l := take(is, a)
			take(is, a)
			f.store.SetDown(true)
			_, err := b.Acquire(ctx, "endpoint")
			is.True(err != nil && !errors.Is(err, core.ErrNoSlot))
			is.True(a.Release(ctx, l) != nil)
			f.store.SetDown(false)
			take(is, a)
			full(is, b)
		},
		"no read again at once after all slots were taken": func(is *is.I, f *testFleet, a, b *weight.SlotPool) {
			take(is, a)
			take(is, a)
			gets := f.store.Calls(mem.OpGet)
			for range 50 {
				_, err := b.Acquire(ctx, "endpoint")
				is.True(errors.Is(err, core.ErrNoSlot))
			}
			is.Equal(f.store.Calls(mem.OpGet), gets+1)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &testFleet{store: newObjectAPI(), counters: &counterMap{n: map[string]int{}}}
				run(is.New(t), f, f.instance("a"), f.instance("b"))
			})
		})
	}
}

// TestNewerFieldsOfSlots guards against an update that drops fields of a newer version, in the slot table or in slots of
// other instances.
func TestNewerFieldsOfSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &testFleet{store: newObjectAPI(), counters: &counterMap{n: map[string]int{}}}
		const slot = `{"endpoint":"e","holder":"other","lease_ms":10000,"nonce":"n","renewal":1,"share":0.5}`
		_, err := f.store.Put(t.Context(), weight.Key, []byte(`{"epoch":7,"slots":[`+slot+`]}`), 0)
		is.NoErr(err)
		_, err = f.instance("a").Acquire(t.Context(), "endpoint")
		is.NoErr(err)
		o, _ := f.store.Object(weight.Key)
		is.True(strings.Contains(string(o.Value), `"epoch":7`))
		is.True(strings.Contains(string(o.Value), slot))
	})
}
