package fleet_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/core/fleet"
	"snipeshed/stand/revs"
)

// TestRestore guards against endpoints that are used, or not used, by what the store held before it came back from a copy of itself.
func TestRestore(t *testing.T) {
	a := core.Endpoint{ID: "a", Started: 5}
	draining, changed, restarted := a, a, a
	draining.Draining, changed.Slots, restarted.Started = true, 9, 6
	back := start.Add(time.Second)
	const (
		soon   = 2 * time.Second  // before an entry that was lost counts as gone
		lapsed = 3 * time.Second  // after that
		late   = 11 * time.Second // after a copied entry counts
	)
	for _, tt := range []struct {
		name    string
		happens func(eps *fleet.Endpoints) // after the entry of "a" was read at revision 10 of era 0
		after   time.Duration
		leaving bool
	}{
		{"a lower revision of a later era", func(eps *fleet.Endpoints) { eps.ReplaceAll(back, revs.In(1, 4), entries(draining)) }, 0, true},
		{"a higher revision of an earlier era", func(eps *fleet.Endpoints) {
			eps.ReplaceAll(back, revs.In(1, 4), entries(a))
			eps.ReplaceAll(back, revs.In(0, 90), entries(draining))
		}, 0, false},
		{"the entry is lost", func(eps *fleet.Endpoints) { eps.ReplaceAll(back, revs.In(1, 4), nil) }, soon, false},
		{"the entry is lost and not written again", func(eps *fleet.Endpoints) { eps.ReplaceAll(back, revs.In(1, 4), nil) }, lapsed, true},
		{"the entry is lost and written again", func(eps *fleet.Endpoints) {
			eps.ReplaceAll(back, revs.In(1, 4), nil)
			eps.Set(back, revs.In(1, 5), a)
		}, lapsed, false},
		{"lost in two returns", func(eps *fleet.Endpoints) {
			eps.ReplaceAll(start, revs.In(1, 4), nil)
			eps.ReplaceAll(back, revs.In(2, 4), nil)
		}, soon, false},
		{"draining, then ready in the copy", func(eps *fleet.Endpoints) {
			eps.Set(start, revs.In(0, 11), draining)
			eps.ReplaceAll(back, revs.In(1, 4), entries(a))
		}, soon, true},
		{"removed, then ready in the copy", func(eps *fleet.Endpoints) {
			eps.Remove(start, revs.In(0, 11), "a")
			eps.ReplaceAll(back, revs.In(1, 4), entries(a))
		}, soon, true},
		{"removed, then in the copy for so long that it lives", func(eps *fleet.Endpoints) {
			eps.Remove(start, revs.In(0, 11), "a")
			eps.ReplaceAll(back, revs.In(1, 4), entries(a))
		}, late, false},
		{"removed, then in the copy, and said itself that it leaves", func(eps *fleet.Endpoints) {
			eps.Remove(start, revs.In(0, 11), "a")
			eps.ReplaceAll(back, revs.In(1, 4), entries(a))
			eps.MarkLeaving(back, a.Incarnation())
		}, late, true},
		{"removed, then ready in the copy, and the list is read again", func(eps *fleet.Endpoints) {
			eps.Remove(start, revs.In(0, 11), "a")
			eps.ReplaceAll(back, revs.In(1, 4), entries(a))
			eps.ReplaceAll(back, revs.In(1, 6), entries(a))
		}, soon, true},
		{"removed, then ready in the copy, and removed from it", func(eps *fleet.Endpoints) {
			eps.Remove(start, revs.In(0, 11), "a")
			eps.ReplaceAll(back, revs.In(1, 4), entries(a))
			eps.Remove(back, revs.In(1, 5), "a")
		}, late, true},
		{"removed, then ready in the copy, and written again", func(eps *fleet.Endpoints) {
			eps.Remove(start, revs.In(0, 11), "a")
			eps.ReplaceAll(back, revs.In(1, 4), entries(a))
			eps.Set(back, revs.In(1, 5), changed)
		}, 0, false},
		{"removed, ready in the copy, lost and ready in another copy", func(eps *fleet.Endpoints) {
			eps.Remove(start, revs.In(0, 11), "a")
			eps.ReplaceAll(start, revs.In(1, 4), entries(a))
			eps.ReplaceAll(back, revs.In(2, 4), entries(a))
		}, 9500 * time.Millisecond, true},
		{"started anew, then the earlier process in the copy", func(eps *fleet.Endpoints) {
			eps.Set(start, revs.In(0, 11), restarted)
			eps.ReplaceAll(back, revs.In(1, 4), entries(a))
		}, late, false},
		{"draining, then a later process in the copy", func(eps *fleet.Endpoints) {
			eps.Set(start, revs.In(0, 11), draining)
			eps.ReplaceAll(back, revs.In(1, 4), entries(restarted))
		}, 0, false},
		{"another instance reported it before the return", func(eps *fleet.Endpoints) {
			eps.ApplyPeerReport(start, revs.In(0, 12), a.Incarnation())
			eps.ReplaceAll(back, revs.In(1, 4), entries(a))
		}, soon, true},
		{"another instance reported it before the return, and it lives", func(eps *fleet.Endpoints) {
			eps.ApplyPeerReport(start, revs.In(0, 12), a.Incarnation())
			eps.ReplaceAll(back, revs.In(1, 4), entries(a))
		}, late, false},
		{"another instance that has not seen the return reports it by a higher number", func(eps *fleet.Endpoints) {
			eps.ReplaceAll(back, revs.In(1, 4), entries(changed))
			eps.ApplyPeerReport(back, revs.In(0, 90), a.Incarnation())
		}, 0, false},
		{"another instance that has seen the return reports it by a lower number", func(eps *fleet.Endpoints) {
			eps.ReplaceAll(back, revs.In(1, 4), entries(a))
			eps.ApplyPeerReport(back, revs.In(1, 5), a.Incarnation())
		}, soon, true},
		{"the same, and it lives", func(eps *fleet.Endpoints) {
			eps.ReplaceAll(back, revs.In(1, 4), entries(a))
			eps.ApplyPeerReport(back, revs.In(1, 5), a.Incarnation())
		}, late, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			eps := fleet.New(func(core.EndpointID) {})
			eps.ReplaceAll(start, revs.In(0, 10), entries(a))
			tt.happens(eps)
			if tt.after > 0 {
				eps.ExpireLapsed(back.Add(tt.after))
			}
			is.Equal(eps.Get("a").Leaving, tt.leaving)
		})
	}
}

// TestFirstEra guards against a grace period for endpoints that are removed while the store is available, because the list was known from
// an instance of an older version, which names no era.
func TestFirstEra(t *testing.T) {
	is := is.New(t)
	eps := fleet.New(func(core.EndpointID) {})
	eps.ReplaceAll(start, revs.At(10), entries(core.Endpoint{ID: "a"}))
	eps.ReplaceAll(start, revs.In(0, 11), nil)
	is.True(eps.Get("a").Leaving)
}
