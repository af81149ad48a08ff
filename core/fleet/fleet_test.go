package fleet_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/core/fleet"
)

// told collects the endpoints that began to leave.
type told struct{ ids []core.EndpointID }

func (l *told) leave(id core.EndpointID) { l.ids = append(l.ids, id) }

func entries(list ...core.Endpoint) []core.Endpoint { return list }

var start = time.Unix(1000, 0)

// TestLeaving guards against calls to an endpoint that leaves or is gone.
func TestLeaving(t *testing.T) {
	is := is.New(t)
	l := &told{}
	f := fleet.New(l.leave)
	a := core.Endpoint{ID: "a", Service: "s", Started: 5}
	b := core.Endpoint{ID: "b", Service: "s", Started: 5}
	is.True(f.Replace(start, 10, entries(a, b)))
	a.Draining = true
	f.Set(start, 11, a)
	f.Remove(start, 12, "b")
	f.Remove(start, 13, "b") // told once
	is.Equal(l.ids, []core.EndpointID{"a", "b"})
	is.True(f.Get("a").Leaving)
	is.True(f.Get("b").Leaving)
	is.Equal(f.Leaving(start.Add(10*time.Second), 3*time.Second), nil)
}

// TestOldNews guards against an older list or an earlier life of an endpoint that comes late.
func TestOldNews(t *testing.T) {
	is := is.New(t)
	l := &told{}
	f := fleet.New(l.leave)
	f.Replace(start, 10, entries(core.Endpoint{ID: "a", Started: 5, Draining: true}))
	is.True(!f.Replace(start, 10, entries(core.Endpoint{ID: "a", Started: 5})))
	is.True(!f.Replace(start, 9, nil))
	is.True(f.Get("a").Leaving)
	f.Set(start, 11, core.Endpoint{ID: "a", Started: 4})
	is.Equal(f.Get("a").Started, int64(5))
	f.Set(start, 12, core.Endpoint{ID: "a", Started: 6}) // a new life under the old id
	is.True(!f.Get("a").Leaving)
}

// TestHint guards against an engine that is used again because the store's entry, written before an outage, still says
// that it is ready (seen on hrc-kyushu trouble-3: moves went to engines that had gone in the outage).
func TestHint(t *testing.T) {
	is := is.New(t)
	l := &told{}
	f := fleet.New(l.leave)
	a := core.Endpoint{ID: "a", Started: 5}
	f.Replace(start, 10, entries(a))
	f.Hint(start, "a")
	f.Hint(start, "unknown")
	f.Replace(start.Add(time.Second), 11, entries(a))
	is.True(f.Get("a").Leaving)
	is.Equal(f.Get("a").Since, start)
	is.Equal(l.ids, []core.EndpointID{"a"})
	f.Set(start, 12, core.Endpoint{ID: "a", Started: 7})
	is.True(!f.Get("a").Leaving)
}

// TestLapsedEntries guards against a fleet that is taken for gone because its entries lapsed while the store was down
// (pattern: the store is down and leases run out).
func TestLapsedEntries(t *testing.T) {
	is := is.New(t)
	l := &told{}
	f := fleet.New(l.leave)
	a, b := core.Endpoint{ID: "a", Started: 5}, core.Endpoint{ID: "b", Started: 5}
	f.Replace(start, 10, entries(a, b))
	f.Outage(start)
	back := start.Add(time.Second)
	f.Replace(back, 11, nil)
	is.Equal(l.ids, nil)
	f.Expire(back.Add(time.Second))
	is.True(!f.Get("a").Leaving)
	f.Set(back.Add(time.Second), 12, a) // a is back in time
	f.Expire(back.Add(2500 * time.Millisecond))
	is.True(!f.Get("a").Leaving)
	is.True(f.Get("b").Leaving)
	is.Equal(l.ids, []core.EndpointID{"b"})
}

// TestRemovalInCalm guards against a grace for endpoints that are removed while the store is well.
func TestRemovalInCalm(t *testing.T) {
	is := is.New(t)
	l := &told{}
	f := fleet.New(l.leave)
	f.Replace(start, 10, entries(core.Endpoint{ID: "a"}))
	f.Outage(start.Add(-time.Minute))
	f.Replace(start, 11, nil)
	is.Equal(l.ids, []core.EndpointID{"a"})
}

// TestUnreachable guards against an endpoint that is passed over for good after one refused connection.
func TestUnreachable(t *testing.T) {
	is := is.New(t)
	f := fleet.New(func(core.EndpointID) {})
	f.Replace(start, 10, entries(core.Endpoint{ID: "a"}))
	is.True(f.Unreachable(start, "a"))
	is.True(!f.Unreachable(start.Add(time.Second), "a")) // not new
	is.True(f.Unreachable(start.Add(time.Minute), "a"))
	is.True(!f.Unreachable(start, "unknown"))
}
