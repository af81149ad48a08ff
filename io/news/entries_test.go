package news_test

import (
	"bytes"
	"strings"
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

// brackets is an entry of 1 MB that nests too deeply to be decoded.
var brackets = append(bytes.Repeat([]byte("["), 1<<19), bytes.Repeat([]byte("]"), 1<<19)...)

// TestOddEntryOfPeer guards against entries that name no endpoint but are sent to every other instance, whatever their size,
// and against instances that differ after an entry has become odd or sound.
func TestOddEntryOfPeer(t *testing.T) {
	is := is.New(t)
	a, b := newPeer(t), newPeer(t)
	a.ReplaceEndpoints(at(10), map[string][]byte{"e1": entry("ready"), "e2": entry("ready"), "deep": brackets}, "store")
	is.Equal(len(syncFrom(is, a, b).GetEndpoints()), 2)
	checkSame(is, a, b)

	a.ChangeEndpoint(at(11), "e1", brackets)
	a.ChangeEndpoint(at(12), "new", brackets)
	got := syncFrom(is, a, b)
	is.True(got.GetDelta())
	is.Equal(len(got.GetEndpoints()), 0)
	checkSame(is, a, b)
	is.True(b.fleet.Get("e1").Leaving)

	a.ChangeEndpoint(at(13), "e1", entry("ready"))
	syncFrom(is, a, b)
	checkSame(is, a, b)
	is.True(!b.fleet.Get("e1").Leaving)

	a.ReplaceEndpoints(at(20), map[string][]byte{"e1": entry("ready"), "e2": entry("odd"), "deep": brackets}, "store")
	is.Equal(syncFrom(is, a, b).GetRemoved(), []string{"e2"})
	checkSame(is, a, b)
	is.Equal(len(b.fleet.All()), 1)

	// An older release passes odd entries on.
	late := &wire.News{HasEndpoints: true, Delta: true, EndpointsRevision: 21, Endpoints: []*wire.Record{
		{Name: "e1", Value: brackets}, {Name: "e3", Value: entry("ready")}, {Name: "e4"},
	}}
	b.ApplyFetched("a", &wire.Known{Endpoints: 20}, late)
	is.True(b.fleet.Get("e1").Leaving)
	is.True(!b.fleet.Get("e3").Leaving)
	is.Equal(len(b.fleet.All()), 1)
}

// TestOddEntryLoggedOnce guards against a line for the same odd entry each time the list is read.
func TestOddEntryLoggedOnce(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log := event.New(&out, "edge-1", logrus.InfoLevel)
	n := news.New(platform.Decoder{}, fleet.New(func(core.EndpointID) {}), log, func(string) {})
	for revision := range core.Version(5) {
		n.ReplaceEndpoints(at(10+revision), map[string][]byte{"e1": entry("ready"), "odd": entry("odd"), "deep": brackets}, "store")
	}
	n.ChangeEndpoint(at(20), "odd", entry("odd")) // as when only its metadata has changed
	n.ChangeEndpoint(at(21), "odd", entry("other"))
	n.ChangeEndpoint(at(22), "odd", entry("ready"))
	n.ChangeEndpoint(at(23), "odd", entry("odd"))
	n.ChangeEndpoint(at(24), "deep", nil)
	n.ChangeEndpoint(at(25), "deep", brackets)
	n.ReplaceEndpoints(at(30), map[string][]byte{"e1": entry("ready")}, "store")
	n.ReplaceEndpoints(at(31), map[string][]byte{"e1": entry("ready"), "odd": entry("odd")}, "store")
	log.Close()
	is.Equal(strings.Count(out.String(), "msg=endpoint_unreadable endpoint=odd"), 4) // odd, other, odd again, back after its removal
	is.Equal(strings.Count(out.String(), "msg=endpoint_unreadable endpoint=deep"), 2)
	is.True(out.Len() < 10_000)
}
