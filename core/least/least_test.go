package least

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/core/fifo"
)

// Guards against a baseline that ignores the load reports or the limit of running calls.
func TestLeast(t *testing.T) {
	is := is.New(t)
	t0 := time.Unix(1_800_000_000, 0)
	p := New(fifo.WithRunningLimit(1))
	p.SetRunners(t0, []core.RunnerInfo{
		{ID: "a", Accepting: true, KVCapacity: 100, Load: core.RunnerLoad{KVUsed: 50}},
		{ID: "b", Accepting: true, KVCapacity: 1000, Load: core.RunnerLoad{KVUsed: 60}},
		{ID: "c", Accepting: true, KVCapacity: 1000, Load: core.RunnerLoad{KVUsed: 60, Waiting: 1}},
	})
	for _, want := range []core.EndpointID{"b", "c", "a"} {
		is.Equal(p.Offer(t0, core.Call{ID: core.RequestID(want)})[0].Endpoint, want)
	}
	is.Equal(len(p.Offer(t0, core.Call{ID: "4"})), 0)
}
