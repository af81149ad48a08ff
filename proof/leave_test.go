package proof

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/core/member"
	"snipeshed/stand/batch"
	"snipeshed/stand/caller"
	"snipeshed/stand/fleet"
	"snipeshed/stand/runner"
)

// TestEndpointLeaves guards against new work at an endpoint that has been leaving for 3 s, and against running work that is cut off.
func TestEndpointLeaves(t *testing.T) {
	t.Parallel()
	const clients = 6
	byWord := func(w *world, i int) { w.Runners[i].SetLeaving(true) }
	byList := func(w *world, i int) { w.ListRunner(i, member.StateLeaving) }
	tests := []struct {
		name  string
		leave func(w *world, i int)
		opts  []fleet.Option
		// bound is the time from which on nothing new may start there; lag is that of the instance list.
		bound, lag time.Duration
		// atOnce limits what is sent there after it left to the calls that were on their way when its first answer said so.
		atOnce bool
	}{
		{
			name: "by its load report only", leave: byWord, bound: leaveBound, lag: time.Second,
			opts: []fleet.Option{fleet.WithRunners(runner.WithQuietLeave(true))},
		},
		{name: "by its own word", leave: byWord, bound: leaveBound, lag: time.Second},
		{name: "by the instance list", leave: byList, bound: leaveBound, lag: time.Second},
		{name: "by a ticket that removes it", bound: leaveBound, lag: time.Second, leave: func(w *world, i int) {
			w.apply(w.Nodes[1], fleet.RemovalTicket(fmt.Sprintf("endpoint/runner-%d", i), "morning", 1))
		}},
		// The list alone cannot be faster than its lag, one poll of it by a relay and one exchange of digests.
		{name: "by a list that lags 5 s", leave: byList, bound: 5*time.Second + listPoll + gossip, lag: 5 * time.Second},
		{name: "by its refusals, list lags 5 s", leave: byWord, bound: leaveBound, lag: 5 * time.Second, atOnce: true},
		{
			name: "by the mark of its answers, list lags 5 s", leave: byWord, bound: leaveBound, lag: 5 * time.Second, atOnce: true,
			opts: []fleet.Option{fleet.WithRunners(runner.WithLeavingTaken())},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := start(t, append(tt.opts, fleet.WithListLag(tt.lag))...)
			_, entry := w.owner()
			// One long answer at each runner, so that new work would go to all of them.
			var long caller.Group
			for k := range w.Runners {
				long.Go(w.client, entry.ClientAddress(), ask{Output: int((tt.bound + 4*time.Second) / stepTime)}) // longer than the bound
				is.NoErr(fleet.Wait(startLimit, "long answer runs", func() bool { return w.Started() == k+1 }))
			}
			l := w.load(caller.WithClients(clients))
			is.NoErr(fleet.Wait(startLimit, "a runner takes work", func() bool { return w.Runners[w.Busiest()].State().Started > 10 }))
			i := w.Busiest() // the runner that takes most of the work
			left, had := time.Now(), w.Runners[i].State().Started
			tt.leave(w, i)
			time.Sleep(time.Until(left.Add(tt.bound)))
			before := w.Runners[i].State().Started
			time.Sleep(1500 * time.Millisecond)
			after := w.Runners[i].State().Started
			completed, _ := end(t, l)
			running := long.Wait()
			is.True(had > 10)       // it took work before
			is.True(completed > 50) // the others took the work
			is.Equal(after, before) // no new work after the bound
			sent := after - had + w.Runners[i].State().Refused
			is.True(!tt.atOnce || sent <= clients)
			for _, err := range running.Check(caller.IsComplete) {
				t.Error(err) // running work was to be finished
			}
			t.Logf("the runner started %d generations before it left, %d within %s and %d after it, and refused %d", had, before-had, tt.bound, after-before, w.Runners[i].State().Refused)
		})
	}
}

// TestInstanceStops guards against requests that are cut off or fail when an instance is stopped as planned: open
// streams and whole answers of its clients, queued calls, and calls of other instances to the pool that it owns.
func TestInstanceStops(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name   string
		calls  int
		output int
		// known is the number of calls that run or wait at the stop; one that reached the instance later than the pause
		// after its readiness check fails could be refused as leaving.
		known  int
		engine batch.Config
	}{
		{name: "with streams and a queue", calls: 240, output: 150, known: 240}, // 3 runners run 64 each at most, the rest is queued
		// The queued calls wait longer than the background rank's limit, so the next owner would refuse them as new calls;
		// the engines are full of calls that the next owner did not start.
		{
			name: "with a queue longer than the rank's limit", calls: 40, output: 90, known: 40,
			engine: batch.Config{KVCapacity: 1500, MaxRunning: 10, StepBase: 60 * time.Millisecond},
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			stopOwner(t, tt.calls, tt.output, tt.known, tt.engine)
		})
	}
}

func stopOwner(t *testing.T, n, output, known int, engine batch.Config) {
	w := start(t, fleet.WithRunners(runner.WithBatch(engine)))
	owner, entry := w.owner()
	var calls caller.Group
	for i := range n {
		node := []*fleet.Node{owner, entry}[i/2%2]
		calls.Go(w.client, node.ClientAddress(), ask{Key: []string{fleet.SlowKey, fleet.OtherKey}[i%2], Output: output, Whole: i%4 == 0})
	}
	waiting := 0
	if err := fleet.Wait(startLimit, "queued calls", func() bool {
		waiting = w.Waiting()
		return waiting > 0 && waiting+w.Started() >= known
	}); err != nil {
		t.Fatal(err)
	}
	if err := owner.Stop(); err != nil {
		t.Error(err)
	}
	results := calls.Wait()
	for _, err := range results.Check(caller.IsComplete) { // also those refused as not_run
		t.Error(err)
	}
	t.Logf("%d calls were queued at the stop; %v", waiting, results.Kinds())
	if waiting == 0 {
		t.Error("no call was queued, so the case is not covered")
	}
}

// TestRollingReplacement guards against requests that fail while all instances are replaced one after the other.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := start(t)
	l := w.load(caller.WithClients(8), caller.WithOutput(40))
	for _, old := range w.List() {
		is.NoErr(w.Replace(old, startLimit, 700*time.Millisecond))
	}
	time.Sleep(time.Second)
	completed, refused := end(t, l)
	is.True(completed > 50)
	is.True(refused <= completed/10) // the balancer sees readiness fail before an instance refuses
}

// TestEndpointReturns guards against an endpoint that stays unused after it stopped leaving.
func TestEndpointReturns(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := start(t)
	l := w.load(caller.WithClients(6), caller.WithOutput(10))
	for i, r := range w.Runners {
		if i > 0 {
			r.SetLeaving(true) // noticed by refused calls and by the load reports
		}
	}
	time.Sleep(time.Second)
	for _, r := range w.Runners {
		r.SetLeaving(false)
	}
	is.NoErr(w.WaitAccepting(leaveBound+resumeSlack, len(w.Runners)))
	end(t, l)
}
