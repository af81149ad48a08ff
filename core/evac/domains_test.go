package evac_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/core/evac"
)

var start = time.Unix(1000, 0)

// at returns a revision of a store without eras.
func at(n core.Version) core.Revision { return core.Revision{Number: n} }

// TestDomains guards against instances that go back to an older set after messages were repeated or came late, and against one that
// misses the end of an evacuation.
func TestDomains(t *testing.T) {
	is := is.New(t)
	var seen [][]core.FailureDomain
	d := evac.New(func(list []core.FailureDomain) { seen = append(seen, list) })
	d.Replace(start, at(10), nil)
	d.Change(start, at(11), "b", true)
	d.Replace(start, at(11), nil) // the same revision again
	d.Change(start, at(13), "a", true)
	d.Change(start, at(12), "b", false) // late
	d.Replace(start, at(15), []core.FailureDomain{"b", "b"})
	d.Change(start, at(16), "b", false)
	d.Replace(start, at(14), []core.FailureDomain{"a"})
	is.Equal(seen, [][]core.FailureDomain{{"b"}, {"a", "b"}, {"b"}, {}})
	is.Equal(d.State(start).Present.Revision, at(16))
	is.Equal(len(d.Get()), 0)
}
