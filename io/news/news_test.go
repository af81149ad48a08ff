package news_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"snipeshed/core"
	"snipeshed/core/fleet"
	"snipeshed/io/event"
	"snipeshed/io/news"
	"snipeshed/platform"
	"snipeshed/stand/revs"
	"snipeshed/wire"
)

// peer is the News of one instance.
type peer struct {
	*news.News
	fleet   *fleet.Endpoints
	changes int
}

func newPeer(t *testing.T) *peer {
	h := &peer{fleet: fleet.New(func(core.EndpointID) {})}
	log := event.New(t.Output(), "edge-1", logrus.ErrorLevel)
	t.Cleanup(log.Close)
	h.News = news.New(platform.Decoder{}, h.fleet, log, func(source string) {
		if source == news.SourceStore {
			h.changes++
		}
	})
	return h
}

func entry(state string) []byte {
	return fmt.Appendf(nil, `{"service":"s","address":"1.2.3.4:5","zone":"z","slots":1,"state":%q,"born":1}`, state)
}

// syncFrom lets b fetch from a what it lacks, and returns a's answer.
func syncFrom(is *is.I, a, b *peer) *wire.News {
	rules, endpoints := b.Versions()
	known := &wire.Known{Rules: uint64(rules), Endpoints: uint64(endpoints.Number), EndpointsEra: uint64(endpoints.Era)}
	got, err := a.ServeFetch(context.Background(), known)
	is.NoErr(err)
	b.ApplyFetched("a", known, got)
	return got
}

func checkSame(is *is.I, a, b *peer) {
	is.Helper()
	ra, ea := a.Versions()
	rb, eb := b.Versions()
	is.Equal(ra, rb)
	is.Equal(ea, eb)
	for _, s := range a.fleet.All() {
		is.Equal(b.fleet.Get(s.ID).Leaving, s.Leaving)
	}
	is.Equal(len(a.fleet.All()), len(b.fleet.All()))
}

// TestFetch guards against instances that differ after one has fetched from the other, and against sending the whole list
// for a single change, which hundreds of instances would fetch.
func TestFetch(t *testing.T) {
	is := is.New(t)
	a, b := newPeer(t), newPeer(t)
	a.ReplaceEndpoints(revs.At(10), map[string][]byte{"e1": entry("ready"), "e2": entry("ready"), "e3": entry("ready")}, "store")
	a.UpdateConfig([]byte(`{"version":3}`), "store")
	is.Equal(len(syncFrom(is, a, b).GetEndpoints()), 3)
	checkSame(is, a, b)
	a.ChangeEndpoint(revs.At(11), "e1", entry("draining"))
	a.ChangeEndpoint(revs.At(12), "e2", nil)
	a.ChangeEndpoint(revs.At(13), "e4", entry("ready"))
	got := syncFrom(is, a, b)
	is.True(got.GetDelta())
	is.Equal(len(got.GetEndpoints()), 2)
	is.Equal(got.GetRemoved(), []string{"e2"})
	is.Equal(len(got.GetRules()), 0)
	checkSame(is, a, b)
	is.True(b.fleet.Get("e1").Leaving)
	a.ReplaceEndpoints(revs.At(20), map[string][]byte{"e3": entry("ready"), "e4": entry("draining")}, "store") // as after a relisting
	is.Equal(len(syncFrom(is, a, b).GetEndpoints()), 1)
	checkSame(is, a, b)
	is.Equal(b.changes, 0) // data from other instances is not announced again
	is.True(a.changes > 0)
}

// TestManyRoutes guards against a configuration that is too large for a hundred instances to fetch in time: one
// with 1,736 additional routes was not in force everywhere after 3 s.
func TestManyRoutes(t *testing.T) {
	is := is.New(t)
	a, b := newPeer(t), newPeer(t)
	raw := []byte(`{"version":9,"routes":[`)
	for i := range 2000 {
		raw = fmt.Appendf(raw, `{"name":"r%d","host":"h.example","path_prefix":"/p%d/","kind":"idempotent","timeout_ms":1000,"service":"s"},`, i, i*7919)
	}
	raw = append(raw[:len(raw)-1], "]}"...)
	a.UpdateConfig(raw, "store")
	got := syncFrom(is, a, b)
	checkSame(is, a, b)
	is.True(len(got.GetRules()) < len(raw)/5)
	b.ApplyFetched("a", &wire.Known{}, &wire.News{Rules: []byte("not compressed")})
	checkSame(is, a, b)
}

// TestLateDelta guards against a delta that arrives late and is applied to a newer list than the one that it was made for.
func TestLateDelta(t *testing.T) {
	is := is.New(t)
	a, b := newPeer(t), newPeer(t)
	a.ReplaceEndpoints(revs.At(10), map[string][]byte{"e1": entry("ready")}, "store")
	syncFrom(is, a, b)
	a.ChangeEndpoint(revs.At(11), "e1", entry("draining"))
	known := &wire.Known{Endpoints: 10}
	late, err := a.ServeFetch(context.Background(), known)
	is.NoErr(err)
	b.ReplaceEndpoints(revs.At(15), map[string][]byte{"e2": entry("ready")}, "store")
	b.ApplyFetched("a", known, late)
	_, endpoints := b.Versions()
	is.Equal(endpoints, revs.At(15))
	is.Equal(len(b.fleet.All()), 1)
}

// TestUnreadable guards against malformed entries or configurations that keep the others from being applied.
func TestUnreadable(t *testing.T) {
	is := is.New(t)
	a := newPeer(t)
	a.ReplaceEndpoints(revs.At(10), map[string][]byte{"e1": entry("ready"), "bad": []byte("\xff"), "odd": entry("odd")}, "store")
	is.Equal(len(a.fleet.All()), 1)
	a.UpdateConfig([]byte(`{"version":3}`), "store")
	a.UpdateConfig([]byte(`{"version":"x"}`), "store")
	rules, _ := a.Versions()
	is.Equal(rules, core.Version(3))
	is.True(a.Loaded())
}
