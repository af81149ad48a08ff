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
	"snipeshed/stand/revs"
	"snipeshed/wire"
)

// brackets is an entry of 1 MB that nests too deeply to be decoded.
var brackets = append(bytes.Repeat([]byte("["), 1<<19), bytes.Repeat([]byte("]"), 1<<19)...)

// TestOddEntryOfPeer guards against entries that name no endpoint but are sent to every other instance, whatever their size,
// and against instances that differ after an entry has become odd or sound.
func TestOddEntryOfPeer(t *testing.T) {
	is := is.New(t)
	a, b := newPeer(t), newPeer(t)
	a.ReplaceEndpoints(revs.At(10), map[string][]byte{"e1": entry("ready"), "e2": entry("ready"), "deep": brackets}, "store")
	is.Equal(len(syncFrom(is, a, b).GetEndpoints()), 2)
	checkSame(is, a, b)

	a.ChangeEndpoint(revs.At(11), "e1", brackets)
	a.ChangeEndpoint(revs.At(12), "new", brackets)
	got := syncFrom(is, a, b)
	is.True(got.GetDelta())
	is.Equal(len(got.GetEndpoints()), 0)
	checkSame(is, a, b)
	is.True(b.fleet.Get("e1").Leaving)

	a.ChangeEndpoint(revs.At(13), "e1", entry("ready"))
	syncFrom(is, a, b)
	checkSame(is, a, b)
	is.True(!b.fleet.Get("e1").Leaving)

	a.ReplaceEndpoints(revs.At(20), map[string][]byte{"e1": entry("ready"), "e2": entry("odd"), "deep": brackets}, "store")
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
		n.ReplaceEndpoints(revs.At(10+revision), map[string][]byte{"e1": entry("ready"), "odd": entry("odd"), "deep": brackets}, "store")
	}
	n.ChangeEndpoint(revs.At(20), "odd", entry("odd")) // as when only its metadata has changed
	n.ChangeEndpoint(revs.At(21), "odd", entry("other"))
	n.ChangeEndpoint(revs.At(22), "odd", entry("ready"))
	n.ChangeEndpoint(revs.At(23), "odd", entry("odd"))
	n.ChangeEndpoint(revs.At(24), "deep", nil)
	n.ChangeEndpoint(revs.At(25), "deep", brackets)
	n.ReplaceEndpoints(revs.At(30), map[string][]byte{"e1": entry("ready")}, "store")
	n.ReplaceEndpoints(revs.At(31), map[string][]byte{"e1": entry("ready"), "odd": entry("odd")}, "store")
	log.Close()
	is.Equal(strings.Count(out.String(), "msg=endpoint_unreadable endpoint=odd"), 4) // odd, other, odd again, back after its removal
	is.Equal(strings.Count(out.String(), "msg=endpoint_unreadable endpoint=deep"), 2)
	is.True(out.Len() < 10_000)
}
