package fleet_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/core/fleet"
	"snipeshed/stand/revs"
)

// leaveRecorder records the endpoints for which onLeave was called.
type leaveRecorder struct{ ids []core.EndpointID }

func (r *leaveRecorder) record(id core.EndpointID) { r.ids = append(r.ids, id) }

func entries(list ...core.Endpoint) []core.Endpoint { return list }

var start = time.Unix(1000, 0)

// TestLeaving guards against calls to an endpoint that is leaving or gone.
func TestLeaving(t *testing.T) {
	is := is.New(t)
	recorder := &leaveRecorder{}
	eps := fleet.New(recorder.record)
	a := core.Endpoint{ID: "a", Service: "s", Started: 5}
	b := core.Endpoint{ID: "b", Service: "s", Started: 5}
	is.True(eps.ReplaceAll(start, revs.At(10), entries(a, b)))
	a.Draining = true
	eps.Set(start, revs.At(11), a)
	eps.Remove(start, revs.At(12), "b")
	eps.Remove(start, revs.At(13), "b") // onLeave is called only once
	is.Equal(recorder.ids, []core.EndpointID{"a", "b"})
	is.True(eps.Get("a").Leaving)
	is.True(eps.Get("b").Leaving)
	is.Equal(eps.RecentlyLeaving(start.Add(10*time.Second), 3*time.Second), nil)
}

// TestStaleUpdates guards against an older list, or an entry from before an endpoint's restart, that arrives late.
func TestStaleUpdates(t *testing.T) {
	is := is.New(t)
	recorder := &leaveRecorder{}
	eps := fleet.New(recorder.record)
	eps.ReplaceAll(start, revs.At(10), entries(core.Endpoint{ID: "a", Started: 5, Draining: true}))
	is.True(!eps.ReplaceAll(start, revs.At(10), entries(core.Endpoint{ID: "a", Started: 5})))
	is.True(!eps.ReplaceAll(start, revs.At(9), nil))
	is.True(eps.Get("a").Leaving)
	eps.Set(start, revs.At(11), core.Endpoint{ID: "a", Started: 4})
	is.Equal(eps.Get("a").Started, int64(5))
	eps.Set(start, revs.At(12), core.Endpoint{ID: "a", Started: 6}) // restarted under the same id
	is.True(!eps.Get("a").Leaving)
}

// TestReportedLeaving guards against new calls to a leaving engine whose entry in the store, written before an outage,
// still says ready: generations then move to engines that left during the outage.
func TestReportedLeaving(t *testing.T) {
	is := is.New(t)
	recorder := &leaveRecorder{}
	eps := fleet.New(recorder.record)
	a := core.Endpoint{ID: "a", Started: 5}
	eps.ReplaceAll(start, revs.At(10), entries(a))
	is.True(eps.MarkLeaving(start, a.Incarnation()))
	is.True(!eps.MarkLeaving(start, a.Incarnation()))
	is.True(!eps.MarkLeaving(start, core.Incarnation{ID: "unknown"}))
	eps.ReplaceAll(start.Add(time.Second), revs.At(11), entries(a))
	is.True(eps.Get("a").Leaving)
	is.Equal(eps.Get("a").LeavingSince, start)
	is.Equal(recorder.ids, []core.EndpointID{"a"})
	eps.Set(start, revs.At(12), core.Endpoint{ID: "a", Started: 7})
	is.True(!eps.Get("a").Leaving)
}

// TestPeerReport guards against an endpoint that is never used again because another instance reported that it leaves, when its
// entry was only removed or malformed for a while; and against a report that is lost when the list is read again.
func TestPeerReport(t *testing.T) {
	is := is.New(t)
	eps := fleet.New(func(core.EndpointID) {})
	a := core.Endpoint{ID: "a", Started: 5}
	eps.ReplaceAll(start, revs.At(10), entries(a))
	eps.ApplyPeerReport(start, revs.At(9), core.Incarnation{ID: "a"}) // from an instance that does not know this entry yet
	is.True(!eps.Get("a").Leaving)
	eps.ApplyPeerReport(start, revs.At(11), core.Incarnation{ID: "a"})
	eps.ApplyPeerReport(start, revs.At(11), core.Incarnation{ID: "unknown"})
	is.True(eps.Get("a").Leaving)
	eps.ReplaceAll(start, revs.At(12), entries(a)) // the entry was not written again
	is.True(eps.Get("a").Leaving)
	eps.Set(start, revs.At(13), a)
	is.True(!eps.Get("a").Leaving)
	eps.ApplyPeerReport(start, revs.At(12), core.Incarnation{ID: "a"}) // late
	is.True(!eps.Get("a").Leaving)

	eps.ApplyPeerReport(start, revs.At(14), core.Incarnation{ID: "a"})
	eps.Remove(start, revs.At(14), "a")
	eps.ReplaceAll(start, revs.At(15), entries(a))
	is.True(!eps.Get("a").Leaving)
	eps.ApplyPeerReport(start, revs.At(15), core.Incarnation{ID: "a"})
	eps.Set(start, revs.At(15), a)
	is.True(eps.Get("a").Leaving)
}

// TestLapsedEntries guards against live endpoints that are treated as gone because their entries expired while the store
// was down (scenario: a store outage that is longer than the leases).
func TestLapsedEntries(t *testing.T) {
	is := is.New(t)
	recorder := &leaveRecorder{}
	eps := fleet.New(recorder.record)
	a, b := core.Endpoint{ID: "a", Started: 5}, core.Endpoint{ID: "b", Started: 5}
	eps.ReplaceAll(start, revs.At(10), entries(a, b))
	eps.RecordStoreOutage(start)
	back := start.Add(time.Second)
	eps.ReplaceAll(back, revs.At(11), nil)
	is.Equal(recorder.ids, nil)
	eps.ExpireLapsed(back.Add(time.Second))
	is.True(!eps.Get("a").Leaving)
	eps.Set(back.Add(time.Second), revs.At(12), a) // a returns in time
	eps.ExpireLapsed(back.Add(2500 * time.Millisecond))
	is.True(!eps.Get("a").Leaving)
	is.True(eps.Get("b").Leaving)
	is.Equal(recorder.ids, []core.EndpointID{"b"})
}

// TestLapseEndsWithOutage guards against calls to endpoints that leave soon after an outage of the store and never report that they
// are draining: the time for lapsed entries to return must run from the end of the outage, not from the time at which an instance
// notices that an entry is missing.
func TestLapseEndsWithOutage(t *testing.T) {
	for _, tt := range []struct {
		name      string
		removedAt time.Duration // after the instance has last known the store to be down
		goneBy    time.Duration
	}{
		{"as the store returns", 50 * time.Millisecond, 2300 * time.Millisecond},
		{"while entries return", 1900 * time.Millisecond, 2300 * time.Millisecond},
		{"when all entries have returned", 2300 * time.Millisecond, 2300 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			recorder := &leaveRecorder{}
			eps := fleet.New(recorder.record)
			eps.ReplaceAll(start, revs.At(10), entries(core.Endpoint{ID: "a"}))
			eps.RecordStoreOutage(start)
			eps.Remove(start.Add(tt.removedAt), revs.At(11), "a")
			eps.ExpireLapsed(start.Add(tt.goneBy))
			is.Equal(recorder.ids, []core.EndpointID{"a"})
		})
	}
}

// TestRemovalWithoutOutage guards against a grace period for endpoints that are removed while the store is available.
func TestRemovalWithoutOutage(t *testing.T) {
	is := is.New(t)
	recorder := &leaveRecorder{}
	eps := fleet.New(recorder.record)
	eps.ReplaceAll(start, revs.At(10), entries(core.Endpoint{ID: "a"}))
	eps.RecordStoreOutage(start.Add(-time.Minute))
	eps.ReplaceAll(start, revs.At(11), nil)
	is.Equal(recorder.ids, []core.EndpointID{"a"})
}

// TestUnreachable guards against an endpoint that is avoided forever after one refused connection.
func TestUnreachable(t *testing.T) {
	is := is.New(t)
	eps := fleet.New(func(core.EndpointID) {})
	eps.ReplaceAll(start, revs.At(10), entries(core.Endpoint{ID: "a"}))
	is.True(eps.MarkUnreachable(start, "a"))
	is.True(!eps.MarkUnreachable(start.Add(time.Second), "a")) // not new
	is.True(eps.MarkUnreachable(start.Add(time.Minute), "a"))
	is.True(!eps.MarkUnreachable(start, "unknown"))
}

// TestLeavingMarkLasts guards against new calls to an incarnation that said that it leaves, whatever happens to its entry
// afterwards, and against a later incarnation that is never used because an earlier one left.
func TestLeavingMarkLasts(t *testing.T) {
	a := core.Endpoint{ID: "a", Started: 5}
	restarted := core.Endpoint{ID: "a", Started: 6}
	draining := a
	draining.Draining = true
	later := start.Add(time.Second)
	for _, tt := range []struct {
		name    string
		happens func(eps *fleet.Endpoints)
		leaving bool
	}{
		{"the entry still says ready", func(eps *fleet.Endpoints) { eps.Set(later, revs.At(11), a) }, true},
		{"the list is read again", func(eps *fleet.Endpoints) { eps.ReplaceAll(later, revs.At(11), entries(a)) }, true},
		{"the entry says draining, then ready", func(eps *fleet.Endpoints) {
			eps.Set(later, revs.At(11), draining)
			eps.Set(later, revs.At(12), a)
		}, true},
		{"the entry lapses in an outage and is written again", func(eps *fleet.Endpoints) {
			eps.RecordStoreOutage(later)
			eps.ReplaceAll(later, revs.At(11), nil)
			eps.ExpireLapsed(later.Add(10 * time.Second))
			eps.Set(later.Add(11*time.Second), revs.At(12), a)
		}, true},
		{"the entry is removed and written again long after", func(eps *fleet.Endpoints) {
			eps.Remove(later, revs.At(11), "a")
			eps.ReplaceAll(later.Add(time.Minute), revs.At(12), nil)
			eps.Set(later.Add(2*time.Minute), revs.At(13), a)
		}, true},
		{"the endpoint starts anew", func(eps *fleet.Endpoints) { eps.Set(later, revs.At(11), restarted) }, false},
		{"the mark is repeated after the new start", func(eps *fleet.Endpoints) {
			eps.Set(later, revs.At(11), restarted)
			eps.MarkLeaving(later, a.Incarnation())
		}, false},
		{"the later incarnation leaves too", func(eps *fleet.Endpoints) {
			eps.Set(later, revs.At(11), restarted)
			eps.MarkLeaving(later, restarted.Incarnation())
		}, true},
		{"the later incarnation is reported as leaving before its entry is read", func(eps *fleet.Endpoints) {
			eps.MarkLeaving(later, restarted.Incarnation())
			eps.Set(later, revs.At(11), restarted)
		}, true},
		{"another instance reports the earlier incarnation after the new start", func(eps *fleet.Endpoints) {
			eps.Set(later, revs.At(11), restarted)
			eps.ApplyPeerReport(later, revs.At(11), a.Incarnation())
		}, false},
		{"another instance reports the later incarnation", func(eps *fleet.Endpoints) {
			eps.Set(later, revs.At(11), restarted)
			eps.ApplyPeerReport(later, revs.At(11), restarted.Incarnation())
		}, true},
		{"a report without a start time after the new start", func(eps *fleet.Endpoints) {
			eps.Set(later, revs.At(11), restarted)
			eps.MarkLeaving(later, core.Incarnation{ID: "a"})
		}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			eps := fleet.New(func(core.EndpointID) {})
			eps.ReplaceAll(start, revs.At(10), entries(a))
			eps.MarkLeaving(start, a.Incarnation())
			tt.happens(eps)
			is.Equal(eps.Get("a").Leaving, tt.leaving)
		})
	}
}

// TestLeavingMarkOfReusedAddress guards against an endpoint that is not used because another one that had its address left.
func TestLeavingMarkOfReusedAddress(t *testing.T) {
	is := is.New(t)
	eps := fleet.New(func(core.EndpointID) {})
	a, b := core.Endpoint{ID: "a", Address: "10.0.0.1:1", Started: 5}, core.Endpoint{ID: "b", Address: "10.0.0.1:1", Started: 9}
	eps.ReplaceAll(start, revs.At(10), entries(a))
	eps.MarkLeaving(start, a.Incarnation())
	eps.ReplaceAll(start.Add(time.Second), revs.At(11), entries(b))
	is.True(!eps.Get("b").Leaving)
}

// TestBackoff guards against requests to an endpoint that wants none, against a later incarnation that is avoided for an
// earlier one, and against an endpoint that is never asked again because of a nonsensical time.
func TestBackoff(t *testing.T) {
	is := is.New(t)
	a, restarted := core.Endpoint{ID: "a", Started: 5}, core.Endpoint{ID: "a", Started: 6}
	eps := fleet.New(func(core.EndpointID) {})
	eps.ReplaceAll(start, revs.At(10), entries(a))
	backsOff := func(after time.Duration) bool { return eps.Get("a").BacksOff(start.Add(after)) }
	is.True(!eps.MarkBackoff(start, core.Incarnation{ID: "unknown"}, time.Second))
	is.True(!eps.MarkBackoff(start, a.Incarnation(), -time.Second))
	is.True(!backsOff(0))
	is.True(eps.MarkBackoff(start, a.Incarnation(), 2*time.Second))
	is.True(!eps.MarkBackoff(start, a.Incarnation(), time.Second)) // a later answer does not shorten it
	is.True(backsOff(1900 * time.Millisecond))
	is.True(!backsOff(2 * time.Second))
	eps.Set(start, revs.At(11), a) // the entry changes
	is.True(backsOff(time.Second))
	eps.Set(start, revs.At(12), restarted)
	is.True(!backsOff(0))
	is.True(!eps.MarkBackoff(start, a.Incarnation(), time.Second)) // a late answer of the earlier one
	is.True(!backsOff(0))
	is.True(eps.MarkBackoff(start, restarted.Incarnation(), 1000*time.Hour))
	is.True(backsOff(9 * time.Minute))
	is.True(!backsOff(10 * time.Minute))
}

// TestCostOfChange guards against a change of one entry that costs time in proportion to the number of endpoints (load pattern: of
// thousands of engines hundreds leave and start in the same second).
func TestCostOfChange(t *testing.T) {
	is := is.New(t)
	const endpoints = 3000
	eps := fleet.New(func(core.EndpointID) {})
	for i := range endpoints {
		eps.Set(start, revs.At(core.Version(i+1)), core.Endpoint{ID: core.EndpointID(strconv.Itoa(i)), Service: "lm", Started: 1})
	}
	is.Equal(len(eps.OfService("lm")), endpoints)
	revision := core.Version(endpoints)
	perChange := testing.Benchmark(func(b *testing.B) {
		for i := range b.N {
			revision++
			eps.Set(start, revs.At(revision), core.Endpoint{ID: core.EndpointID(strconv.Itoa(i % endpoints)), Service: "lm", Started: 1, Slots: i})
		}
	}).AllocedBytesPerOp()
	is.True(perChange < 2<<10)
	is.Equal(len(eps.OfService("lm")), endpoints)
}

// TestRestartHook guards against requests that wait for an engine whose process was replaced, and against taking a planned stop for
// a crash.
func TestRestartHook(t *testing.T) {
	is := is.New(t)
	var replaced []core.Incarnation
	eps := fleet.New(func(core.EndpointID) {}, fleet.WithRestartHook(func(inc core.Incarnation) { replaced = append(replaced, inc) }))
	eps.Set(start, revs.At(10), core.Endpoint{ID: "a", Started: 5})
	eps.Set(start, revs.At(11), core.Endpoint{ID: "a", Started: 6})
	is.True(eps.ReplaceAll(start, revs.At(12), entries(core.Endpoint{ID: "a", Started: 7})))
	eps.Set(start, revs.At(13), core.Endpoint{ID: "a", Started: 7, Draining: true})
	eps.Set(start, revs.At(14), core.Endpoint{ID: "a", Started: 8})
	is.Equal(replaced, []core.Incarnation{{ID: "a", Started: 5}, {ID: "a", Started: 6}})
}
