package evac_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/core/evac"
	"snipeshed/stand/revs"
)

var start = time.Unix(1000, 0)

// TestDomains guards against instances that go back to an older set after messages were repeated or came late, and against one that
// misses the end of an evacuation.
func TestDomains(t *testing.T) {
	is := is.New(t)
	var seen [][]core.FailureDomain
	d := evac.New(func(list []core.FailureDomain) { seen = append(seen, list) })
	d.Replace(start, revs.At(10), nil)
	d.Change(start, revs.At(11), "b", true)
	d.Replace(start, revs.At(11), nil) // the same revision again
	d.Change(start, revs.At(13), "a", true)
	d.Change(start, revs.At(12), "b", false) // late
	d.Replace(start, revs.At(15), []core.FailureDomain{"b", "b"})
	d.Change(start, revs.At(16), "b", false)
	d.Replace(start, revs.At(14), []core.FailureDomain{"a"})
	is.Equal(seen, [][]core.FailureDomain{{"b"}, {"a", "b"}, {"b"}, {}})
	is.Equal(d.State(start).Present.Revision, revs.At(16))
	is.Equal(len(d.Get()), 0)
}
