package news_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/stand/revs"
	"snipeshed/wire"
)

func list(names ...string) map[string][]byte {
	out := map[string][]byte{}
	for _, name := range names {
		out[name] = entry("ready")
	}
	return out
}

// TestListsOfEras guards against lists and changes that are dropped, or applied, because their numbers belong to another history of the
// store.
func TestListsOfEras(t *testing.T) {
	is := is.New(t)
	a := newPeer(t)
	a.ReplaceEndpoints(revs.In(0, 700), list("e1", "e2"), "store")
	a.ReplaceEndpoints(revs.In(1, 650), list("e1", "e3"), "store")
	is.True(a.fleet.Get("e3") != nil)
	a.ReplaceEndpoints(revs.In(0, 800), list("e1"), "store") // read before the store came back
	a.ChangeEndpoint(revs.In(0, 801), "e3", nil)
	a.ChangeEndpoint(revs.In(0, 801), "e4", entry("ready"))
	_, revision := a.Versions()
	is.Equal(revision, revs.In(1, 650))
	is.True(!a.fleet.Get("e3").Leaving)
	is.True(a.fleet.Get("e4") == nil)
	a.ChangeEndpoint(revs.In(1, 651), "e3", entry("draining"))
	is.True(a.fleet.Get("e3").Leaving)
}

// TestFetchAcrossEras guards against instances that differ after one has fetched from the other, of which the store's return is known to
// one only: a delta between two histories misses what both have at the same number.
func TestFetchAcrossEras(t *testing.T) {
	for name, number := range map[string]core.Version{"lower": 650, "equal": 700, "higher": 750} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, b := newPeer(t), newPeer(t)
			a.ReplaceEndpoints(revs.In(0, 690), list("e1", "e2"), "store")
			syncFrom(is, a, b)
			b.ChangeEndpoint(revs.In(0, 700), "e9", entry("ready")) // lost when the store came back
			a.ReplaceEndpoints(revs.In(1, number), list("e1", "e3"), "store")
			got := syncFrom(is, a, b)
			is.True(!got.GetDelta())
			_, revision := b.Versions()
			is.Equal(revision, revs.In(1, number))
			is.True(b.fleet.Get("e3") != nil)
			is.True(!syncFrom(is, b, a).GetHasEndpoints())
			a.ChangeEndpoint(revs.In(1, number+1), "e4", entry("ready"))
			got = syncFrom(is, a, b)
			is.True(got.GetDelta())
			is.Equal(len(got.GetEndpoints()), 1)
			is.True(b.fleet.Get("e4") != nil)

			// An instance that has not seen the return has nothing newer, whatever its numbers.
			behind := newPeer(t)
			behind.ReplaceEndpoints(revs.In(0, 900), list("e8"), "store")
			is.True(!syncFrom(is, behind, a).GetHasEndpoints())
		})
	}
}

// TestDeltaOfOtherEra guards against a delta that is applied to a list of another history with the same number.
func TestDeltaOfOtherEra(t *testing.T) {
	is := is.New(t)
	a, b := newPeer(t), newPeer(t)
	a.ReplaceEndpoints(revs.In(0, 10), list("e1"), "store")
	syncFrom(is, a, b)
	a.ChangeEndpoint(revs.In(0, 11), "e1", entry("draining"))
	known := &wire.Known{Endpoints: 10, EndpointsEra: uint64(core.NewEra(0))}
	late, err := a.ServeFetch(context.Background(), known)
	is.NoErr(err)
	is.True(late.GetDelta())
	b.ReplaceEndpoints(revs.In(1, 10), list("e1"), "store")
	b.ApplyFetched("a", known, late)
	_, revision := b.Versions()
	is.Equal(revision, revs.In(1, 10))
	is.True(!b.fleet.Get("e1").Leaving)

	late.EndpointsEra = uint64(core.NewEra(2))
	b.ApplyFetched("a", &wire.Known{Endpoints: 10, EndpointsEra: uint64(core.NewEra(1))}, late)
	is.True(!b.fleet.Get("e1").Leaving)
}

// TestFetchFromOlderVersion guards against instances that get no changes from those of an older version, which name no era, or the whole
// list for each change.
func TestFetchFromOlderVersion(t *testing.T) {
	is := is.New(t)
	older, newer := newPeer(t), newPeer(t)
	older.ReplaceEndpoints(revs.At(10), list("e1"), "store")
	newer.ReplaceEndpoints(revs.In(3, 10), list("e1"), "store")
	newer.ApplyFetched("older", &wire.Known{Endpoints: 10, EndpointsEra: uint64(core.NewEra(3))}, &wire.News{
		HasEndpoints: true, Delta: true, EndpointsRevision: 11, Endpoints: []*wire.Record{{Name: "e2", Value: entry("ready")}},
	})
	_, revision := newer.Versions()
	is.Equal(revision, revs.In(3, 11))
	is.True(newer.fleet.Get("e2") != nil)

	got, err := newer.ServeFetch(context.Background(), &wire.Known{Endpoints: 10})
	is.NoErr(err)
	is.True(got.GetDelta())
	is.Equal(len(got.GetEndpoints()), 1)
	older.ApplyFetched("newer", &wire.Known{Endpoints: 10}, got)
	is.Equal(len(older.fleet.All()), 2)
}
