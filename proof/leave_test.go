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

// TestEndpointLeaves guards against new generations at an endpoint that has been leaving for 3 s, or for longer when only a
// lagging instance list shows it, and against aborting the generations that already run there.
func TestEndpointLeaves(t *testing.T) {
	t.Parallel()
	const clients = 6
	setLeaving := func(tf *testFleet, i int) { tf.Runners[i].SetLeaving(true) }
	listAsLeaving := func(tf *testFleet, i int) { tf.SetRunnerState(i, member.StateLeaving) }
	tests := []struct {
		name  string
		leave func(tf *testFleet, i int)
		opts  []fleet.Option
		// bound is the time after which no new generation may start at the endpoint; lag is the delay of the instance list.
		bound, lag time.Duration
		// inFlightOnly reports whether, after the endpoint began to leave, it may receive at most the calls that were already in
		// flight when its answers first showed that: one for each client.
		inFlightOnly bool
	}{
		{
			name: "by its load report only", leave: setLeaving, bound: leaveBound, lag: time.Second,
			opts: []fleet.Option{fleet.WithRunnerOptions(runner.WithLeavingOnlyInLoad(true))},
		},
		{name: "by its refusals and load report", leave: setLeaving, bound: leaveBound, lag: time.Second},
		{name: "by the instance list", leave: listAsLeaving, bound: leaveBound, lag: time.Second},
		{name: "by a ticket that removes it", bound: leaveBound, lag: time.Second, leave: func(tf *testFleet, i int) {
			tf.applyTicket(tf.Nodes[1], fleet.RemovalTicket(fmt.Sprintf("endpoint/runner-%d", i), "morning", 1))
		}},
		// The list alone takes at least its lag, one poll by a relay and one gossip round.
		{name: "by a list that lags 5 s", leave: listAsLeaving, bound: 5*time.Second + listPollInterval + gossipInterval, lag: 5 * time.Second},
		{name: "by its refusals, list lags 5 s", leave: setLeaving, bound: leaveBound, lag: 5 * time.Second, inFlightOnly: true},
		{
			name: "by the header of its answers, list lags 5 s", leave: setLeaving, bound: leaveBound, lag: 5 * time.Second, inFlightOnly: true,
			opts: []fleet.Option{fleet.WithRunnerOptions(runner.WithAcceptWhileLeaving())},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			tf := startFleet(t, append(tt.opts, fleet.WithListLag(tt.lag))...)
			_, entry := tf.ownerAndOther()
			// One long generation at each runner, so that the load would go to all of them.
			var long caller.Group
			for k := range tf.Runners {
				long.Go(tf.client, entry.ClientAddress(), chatRequest{OutputTokens: int((tt.bound + 4*time.Second) / tokenTime)}) // longer than the bound
				is.NoErr(fleet.Wait(startLimit, "long answer runs", func() bool { return tf.StartedGenerations() == k+1 }))
			}
			l := tf.load(caller.WithClients(clients))
			is.NoErr(fleet.Wait(startLimit, "a runner takes work", func() bool { return tf.Runners[tf.BusiestRunner()].State().Started > 10 }))
			i := tf.BusiestRunner() // the runner that gets most of the load
			left, startedBefore := time.Now(), tf.Runners[i].State().Started
			tt.leave(tf, i)
			time.Sleep(time.Until(left.Add(tt.bound)))
			before := tf.Runners[i].State().Started
			time.Sleep(1500 * time.Millisecond)
			after := tf.Runners[i].State().Started
			completed, _ := endLoad(t, l)
			running := long.Wait()
			is.True(startedBefore > 10) // it got calls before it left
			is.True(completed > 50)     // the others got the calls afterwards
			is.Equal(after, before)     // no new generation after the bound
			sent := after - startedBefore + tf.Runners[i].State().Refused
			is.True(!tt.inFlightOnly || sent <= clients)
			for _, err := range running.Errors(caller.CheckComplete) {
				t.Error(err) // a generation that already ran was not finished
			}
			t.Logf("the runner started %d generations before it left, %d within %s and %d after it, and refused %d", startedBefore, before-startedBefore, tt.bound, after-before, tf.Runners[i].State().Refused)
		})
	}
}

// TestInstanceStops guards against requests that are aborted or fail during a graceful shutdown of an instance: open streams
// and non-streamed answers of its clients, queued calls, and calls that other instances forwarded to the pool that it owns.
func TestInstanceStops(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name   string
		calls  int
		output int
		// minOpen is the number of calls that must run or be queued before the shutdown begins. A call that arrives later than
		// leave_delay_ms after the readiness check first failed could be refused as leaving.
		minOpen int
		engine  batch.Config
	}{
		{name: "with streams and a queue", calls: 240, output: 150, minOpen: 240}, // each of the 3 runners runs at most 64; the rest are queued
		// The queued calls have waited longer than the limit of the background rank, so the next owner would refuse them if it
		// took them for new calls. The engines are full of calls that the next owner did not start.
		{
			name: "with a queue longer than the rank's limit", calls: 40, output: 90, minOpen: 40,
			engine: batch.Config{KVCapacity: 1500, MaxRunning: 10, StepBase: 60 * time.Millisecond},
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			stopOwner(t, tt.calls, tt.output, tt.minOpen, tt.engine)
		})
	}
}

func stopOwner(t *testing.T, n, output, minOpen int, engine batch.Config) {
	tf := startFleet(t, fleet.WithRunnerOptions(runner.WithBatch(engine)))
	owner, entry := tf.ownerAndOther()
	var calls caller.Group
	for i := range n {
		node := []*fleet.Node{owner, entry}[i/2%2]
		calls.Go(tf.client, node.ClientAddress(), chatRequest{Key: []string{fleet.BackgroundKey, fleet.OtherTeamKey}[i%2], OutputTokens: output, NonStreaming: i%4 == 0})
	}
	waiting := 0
	if err := fleet.Wait(startLimit, "queued calls", func() bool {
		waiting = tf.QueuedCalls()
		return waiting > 0 && waiting+tf.StartedGenerations() >= minOpen
	}); err != nil {
		t.Fatal(err)
	}
	if err := owner.Stop(); err != nil {
		t.Error(err)
	}
	results := calls.Wait()
	for _, err := range results.Errors(caller.CheckComplete) { // a refusal as not_run is an error here too
		t.Error(err)
	}
	t.Logf("%d calls were queued at the shutdown; %v", waiting, results.CountByOutcome())
	if waiting == 0 {
		t.Error("no call was queued at the shutdown, so the test covers nothing")
	}
}

// TestRollingReplacement guards against requests that fail while all instances are replaced one by one.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	tf := startFleet(t)
	l := tf.load(caller.WithClients(8), caller.WithMinOutputTokens(40))
	for _, old := range tf.NodesCopy() {
		is.NoErr(tf.ReplaceNode(old, startLimit, 700*time.Millisecond))
	}
	time.Sleep(time.Second)
	completed, refused := endLoad(t, l)
	is.True(completed > 50)
	is.True(refused <= completed/10) // the balancer sees the readiness check fail before the instance refuses calls
}

// TestEndpointReturns guards against an endpoint that gets no calls after it has withdrawn the announcement that it leaves.
func TestEndpointReturns(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	tf := startFleet(t)
	l := tf.load(caller.WithClients(6), caller.WithMinOutputTokens(10))
	for i, r := range tf.Runners {
		if i > 0 {
			r.SetLeaving(true) // the owner sees it in refused calls and load reports
		}
	}
	time.Sleep(time.Second)
	for _, r := range tf.Runners {
		r.SetLeaving(false)
	}
	is.NoErr(tf.WaitAccepting(leaveBound+resumeSlack, len(tf.Runners)))
	endLoad(t, l)
}
