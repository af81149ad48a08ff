package fifo

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
)

var t0 = time.Unix(1_800_000_000, 0)

func twoRunners() []core.RunnerInfo {
	return []core.RunnerInfo{{ID: "a", Accepting: true}, {ID: "b", Accepting: true}}
}

// Guards against a baseline whose faults distort comparisons: skipped endpoints, lost slots or lost calls.
func TestFifoServesInOrderRoundRobin(t *testing.T) {
	is := is.New(t)
	f := New(WithRunningLimit(1), WithQueueLimit(1))
	f.SetRunners(t0, twoRunners())
	is.Equal(f.Offer(t0, core.Call{ID: "1"})[0].Endpoint, core.EndpointID("a"))
	is.Equal(f.Offer(t0, core.Call{ID: "2"})[0].Endpoint, core.EndpointID("b"))
	is.Equal(len(f.Offer(t0, core.Call{ID: "3"})), 0) // waits
	full := f.Offer(t0, core.Call{ID: "4"})
	is.Equal(full[0].Kind, core.ActionRefuse)
	is.Equal(full[0].Err.Kind, core.KindOverloaded)
	is.Equal(full[0].Err.Execution, core.NotExecuted)
	next := f.Finish(t0, "2", true)
	is.Equal(next, []core.Action{{Kind: core.ActionStart, ID: "3", Endpoint: "b"}})
	is.Equal(len(f.Finish(t0, "2", true)), 0) // a repeated Finish frees no second slot
}

// Guards against calls that wait past their deadline or go to an endpoint that is leaving or has already failed them.
func TestFifoDeadlineLeavingAvoid(t *testing.T) {
	is := is.New(t)
	f := New(WithRunningLimit(1))
	f.SetRunners(t0, []core.RunnerInfo{{ID: "a"}, {ID: "b", Accepting: true}})
	is.Equal(f.Offer(t0, core.Call{ID: "1"})[0].Endpoint, core.EndpointID("b"))
	f.Offer(t0, core.Call{ID: "2", Deadline: t0.Add(time.Second)})
	f.Offer(t0, core.Call{ID: "3", Avoid: []core.EndpointID{"a"}})
	late := f.Tick(t0.Add(time.Second))
	is.Equal(len(late), 1)
	is.Equal(late[0].Err.Kind, core.KindDeadline)
	is.Equal(len(f.SetRunners(t0, twoRunners())), 0) // a is free but failed call 3
	is.Equal(f.Finish(t0, "1", true)[0].Endpoint, core.EndpointID("b"))
}
