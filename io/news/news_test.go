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
	"snipeshed/wire"
)

// holder is one instance's news.
type holder struct {
	*news.News
	fleet   *fleet.Fleet
	changes int
}

func hold(t *testing.T) *holder {
	h := &holder{fleet: fleet.New(func(core.EndpointID) {})}
	log := event.New(t.Output(), "edge-1", logrus.ErrorLevel)
	t.Cleanup(log.Close)
	h.News = news.New(platform.Decoder{}, h.fleet, log, func() { h.changes++ })
	return h
}

func entry(state string) []byte {
	return fmt.Appendf(nil, `{"service":"s","address":"1.2.3.4:5","state":%q,"born":1}`, state)
}

// pass gives b what it lacks of a, and returns what was sent.
func pass(is *is.I, a, b *holder) *wire.News {
	rules, endpoints := b.Versions()
	known := &wire.Known{Rules: uint64(rules), Endpoints: uint64(endpoints)}
	got, err := a.Fetch(context.Background(), known)
	is.NoErr(err)
	b.Take("a", known, got)
	return got
}

func same(is *is.I, a, b *holder) {
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

// TestPass guards against instances that believe different things after one told the other, and against whole lists
// that are sent for one change (pattern: hundreds of instances that learn of each change).
func TestPass(t *testing.T) {
	is := is.New(t)
	a, b := hold(t), hold(t)
	a.TakeEndpoints(10, map[string][]byte{"e1": entry("ready"), "e2": entry("ready"), "e3": entry("ready")}, "store")
	a.TakeRules([]byte(`{"version":3}`), "store")
	is.Equal(len(pass(is, a, b).GetEndpoints()), 3)
	same(is, a, b)
	a.ChangeEndpoint(11, "e1", entry("draining"))
	a.ChangeEndpoint(12, "e2", nil)
	a.ChangeEndpoint(13, "e4", entry("ready"))
	got := pass(is, a, b)
	is.True(got.GetDelta())
	is.Equal(len(got.GetEndpoints()), 2)
	is.Equal(got.GetRemoved(), []string{"e2"})
	is.Equal(len(got.GetRules()), 0)
	same(is, a, b)
	is.True(b.fleet.Get("e1").Leaving)
	a.TakeEndpoints(20, map[string][]byte{"e3": entry("ready"), "e4": entry("draining")}, "store") // after a lost history
	is.Equal(len(pass(is, a, b).GetEndpoints()), 1)
	same(is, a, b)
	is.Equal(b.changes, 0) // what others told needs no word to all
	is.True(a.changes > 0)
}

// TestManyRoutes guards against a configuration that is too large for a hundred instances to fetch in time (seen on
// kv-router-grown trouble-1: 1,736 more routes were not in force after 3 s).
func TestManyRoutes(t *testing.T) {
	is := is.New(t)
	a, b := hold(t), hold(t)
	raw := []byte(`{"version":9,"routes":[`)
	for i := range 2000 {
		raw = fmt.Appendf(raw, `{"name":"r%d","host":"h.example","path_prefix":"/p%d/","kind":"idempotent","timeout_ms":1000,"service":"s"},`, i, i*7919)
	}
	raw = append(raw[:len(raw)-1], "]}"...)
	a.TakeRules(raw, "store")
	got := pass(is, a, b)
	same(is, a, b)
	is.True(len(got.GetRules()) < len(raw)/5)
	b.Take("a", &wire.Known{}, &wire.News{Rules: []byte("not compressed")})
	same(is, a, b)
}

// TestCrossed guards against changes that are taken on top of a newer list.
func TestCrossed(t *testing.T) {
	is := is.New(t)
	a, b := hold(t), hold(t)
	a.TakeEndpoints(10, map[string][]byte{"e1": entry("ready")}, "store")
	pass(is, a, b)
	a.ChangeEndpoint(11, "e1", entry("draining"))
	known := &wire.Known{Endpoints: 10}
	late, err := a.Fetch(context.Background(), known)
	is.NoErr(err)
	b.TakeEndpoints(15, map[string][]byte{"e2": entry("ready")}, "store")
	b.Take("a", known, late)
	_, endpoints := b.Versions()
	is.Equal(endpoints, core.Version(15))
	is.Equal(len(b.fleet.All()), 1)
}

// TestUnreadable guards against entries or configurations that cannot be read and disturb the others.
func TestUnreadable(t *testing.T) {
	is := is.New(t)
	a := hold(t)
	a.TakeEndpoints(10, map[string][]byte{"e1": entry("ready"), "bad": []byte("\xff"), "odd": entry("odd")}, "store")
	is.Equal(len(a.fleet.All()), 1)
	a.TakeRules([]byte(`{"version":3}`), "store")
	a.TakeRules([]byte(`{"version":"x"}`), "store")
	rules, _ := a.Versions()
	is.Equal(rules, core.Version(3))
	is.True(a.Known())
}
