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

// objects is an object API whose calls take a millisecond; fail decides the fate of each write.
type objects struct {
	*mem.Mem
	fail    func(put int) fate
	pending func()
}

type fate int

const (
	ok fate = iota
	lost
	late
)

var errDown = errors.New("down")

func newObjects() *objects {
	m := &objects{}
	m.Mem = mem.New(mem.WithFaults(m.fault))
	return m
}

func (m *objects) fault(c mem.Call) mem.Fault {
	f := mem.Fault{Delay: time.Millisecond}
	if c.Op != mem.OpPut || m.fail == nil {
		return f
	}
	switch m.fail(c.Number) {
	case lost:
		f.Err = errDown
	case late:
		f.Later = func(effect func()) { m.pending = effect }
	}
	return f
}

func (m *objects) puts() int { return m.Calls(mem.OpPut) }

type counts struct {
	mu sync.Mutex
	n  map[string]int
}

func (c *counts) Count(name string) { c.mu.Lock(); defer c.mu.Unlock(); c.n[name]++ }

const lease = 10 * time.Second

type world struct {
	store *objects
	n     *counts
}

// instance returns a process of its own.
func (w *world) instance(id string) *weight.Weight {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return weight.New(core.NewShared(logrus.NewEntry(log)), w.store, core.InstanceID(id), weight.WithSlots(2),
		weight.WithLease(lease), weight.WithCounters(w.n), weight.WithReadGap(100*time.Millisecond))
}

// Guards against more loads at once than slots, and against slots that are never free again.
func TestSlots(t *testing.T) {
	ctx := context.Background()
	full := func(is *is.I, w *weight.Weight) {
		is.Helper()
		_, err := w.Acquire(ctx, "probe")
		is.True(errors.Is(err, core.ErrNoSlot))
		time.Sleep(200 * time.Millisecond) // past the time in which the answer is repeated without a read
	}
	endpoints := 0
	take := func(is *is.I, w *weight.Weight) core.Lease {
		is.Helper()
		endpoints++
		l, err := w.Acquire(ctx, core.EndpointID(fmt.Sprint("endpoint-", endpoints)))
		is.NoErr(err)
		is.True(time.Until(l.Until) > 0 && time.Until(l.Until) <= lease)
		return l
	}
	for name, run := range map[string]func(is *is.I, w *world, a, b *weight.Weight){
		"limit, release, two writes per load": func(is *is.I, w *world, a, b *weight.Weight) {
			first := take(is, a)
			take(is, b)
			full(is, a)
			full(is, b)
			is.NoErr(a.Release(ctx, first))
			take(is, b)
			is.Equal(w.store.puts(), 4)
		},
		"many holders race": func(is *is.I, w *world, _, _ *weight.Weight) {
			var wg sync.WaitGroup
			var mu sync.Mutex
			got := 0
			for i := range 20 {
				in := w.instance(fmt.Sprint(i))
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
		"two owners of one endpoint need one slot": func(is *is.I, w *world, a, b *weight.Weight) {
			l, err := a.Acquire(ctx, "endpoint")
			is.NoErr(err)
			_, err = b.Acquire(ctx, "endpoint")
			is.True(errors.Is(err, core.ErrNoSlot))
			take(is, b) // for another endpoint, although the answer before was no
			is.NoErr(a.Release(ctx, l))
			_, err = b.Acquire(ctx, "endpoint")
			is.NoErr(err)
			is.Equal(w.store.puts(), 4)
		},
		"lost answer is read back": func(is *is.I, w *world, a, b *weight.Weight) {
			w.store.fail = func(int) fate { return lost }
			l := take(is, a)
			take(is, b)
			full(is, a)
			is.NoErr(a.Release(ctx, l))
			take(is, b)
			is.Equal(w.store.puts(), 4)
		},
		"lost answer and lost reading: the slot is found again": func(is *is.I, w *world, a, b *weight.Weight) {
			w.store.fail = func(put int) fate { w.store.SetDown(put == 1); return lost }
			_, err := a.Acquire(ctx, "endpoint")
			is.True(err != nil)
			w.store.SetDown(false)
			w.store.fail = nil
			take(is, a)
			is.Equal(w.store.puts(), 1)
			take(is, b)
			full(is, b)
		},
		"write that arrives late does not take a second slot": func(is *is.I, w *world, a, b *weight.Weight) {
			w.store.fail = func(put int) fate {
				if put == 1 {
					return late
				}
				return ok
			}
			take(is, a)
			w.store.pending()
			take(is, b)
			full(is, a)
		},
		"killed holder's slot is free after the lease": func(is *is.I, w *world, a, b *weight.Weight) {
			take(is, a)
			take(is, a)
			full(is, b) // sees both leases
			time.Sleep(lease - time.Second)
			full(is, b)
			time.Sleep(time.Second)
			take(is, b)
			is.Equal(w.n.n[weight.CountExpired], 2)
		},
		"observer without history waits a whole lease": func(is *is.I, w *world, a, b *weight.Weight) {
			take(is, a)
			take(is, a)
			time.Sleep(2 * lease)
			full(is, b)
			time.Sleep(lease)
			take(is, b)
		},
		"renewed lease is kept": func(is *is.I, w *world, a, b *weight.Weight) {
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
		"renewal with lost answer counts once": func(is *is.I, w *world, a, b *weight.Weight) {
			l := take(is, a)
			w.store.fail = func(int) fate { return lost }
			time.Sleep(lease / 2)
			l, err := a.Renew(ctx, l)
			is.NoErr(err)
			is.True(time.Until(l.Until) > lease-time.Second)
			is.Equal(w.store.puts(), 2)
		},
		"holder paused past its lease exceeds the limit by one and learns it": func(is *is.I, w *world, a, b *weight.Weight) {
			l := take(is, a)
			take(is, b)
			full(is, b)
			time.Sleep(lease + time.Second)
			take(is, b)
			_, err := a.Renew(ctx, l)
			is.True(errors.Is(err, core.ErrNoSlot))
			is.NoErr(a.Release(ctx, l))
			is.Equal(w.n.n[weight.CountOverrun], 1)
		},
		"store down: no slot, and a failed release goes with the next update": func(is *is.I, w *world, a, b *weight.Weight) {
			l := take(is, a)
			take(is, a)
			w.store.SetDown(true)
			_, err := b.Acquire(ctx, "endpoint")
			is.True(err != nil && !errors.Is(err, core.ErrNoSlot))
			is.True(a.Release(ctx, l) != nil)
			w.store.SetDown(false)
			take(is, a)
			full(is, b)
		},
		"full answer is not read again at once": func(is *is.I, w *world, a, b *weight.Weight) {
			take(is, a)
			take(is, a)
			gets := w.store.Calls(mem.OpGet)
			for range 50 {
				_, err := b.Acquire(ctx, "endpoint")
				is.True(errors.Is(err, core.ErrNoSlot))
			}
			is.Equal(w.store.Calls(mem.OpGet), gets+1)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &world{store: newObjects(), n: &counts{n: map[string]int{}}}
				run(is.New(t), w, w.instance("a"), w.instance("b"))
			})
		})
	}
}

// Guards against an update that drops what a newer version wrote into the slots, its own or those of others.
func TestNewerFieldsOfSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &world{store: newObjects(), n: &counts{n: map[string]int{}}}
		const slot = `{"endpoint":"e","holder":"other","lease_ms":10000,"nonce":"n","renewal":1,"share":0.5}`
		_, err := w.store.Put(t.Context(), weight.Key, []byte(`{"epoch":7,"slots":[`+slot+`]}`), 0)
		is.NoErr(err)
		_, err = w.instance("a").Acquire(t.Context(), "endpoint")
		is.NoErr(err)
		o, _ := w.store.Object(weight.Key)
		is.True(strings.Contains(string(o.Value), `"epoch":7`))
		is.True(strings.Contains(string(o.Value), slot))
	})
}
