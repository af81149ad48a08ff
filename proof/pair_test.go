package proof

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/conf"
	"snipeshed/core"
	"snipeshed/stand/batch"
	"snipeshed/stand/caller"
	"snipeshed/stand/fleet"
	"snipeshed/stand/objs"
	"snipeshed/stand/runner"
)

// smallRunners returns an option for slow model runners with little KV cache, so that calls queue under a small load.
func smallRunners() fleet.Option {
	return fleet.WithRunnerOptions(runner.WithBatch(batch.Config{KVCapacity: 900, StepBase: 40 * time.Millisecond}))
}

// failureTest is a fleet under load in which two failures happen at once.
type failureTest struct {
	*testFleet
	is *is.I
	// streams are the requests that run when the failures begin, two at each instance; every third one is not streamed.
	streams caller.Group
	load    *caller.Load
	// lost holds the requests whose generations were lost when an engine was reset: it was at work on them, or had ended them
	// since partitionedAt, so that the rest of the answer was still on its way through the owner that was cut off.
	lost          map[core.RequestID]bool
	partitionedAt time.Time
}

// sendActions sends each protected action to two instances, one after the other, until stop is closed, and checks the runs of each key.
func (ft *failureTest) sendActions(stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		key := fmt.Sprintf("pair-%d", i)
		nodes := ft.NodesCopy()
		answers := []answer{ft.sendAction(nodes[i%len(nodes)], key, 2*time.Second), ft.sendAction(nodes[(i+1)%len(nodes)], key, 2*time.Second)}
		ft.t.Cleanup(func() { // checks late, so that delayed runs are counted
			if err := caller.CheckRuns(key, ft.AppRunners[0].Runs(key), answers); err != nil {
				ft.t.Error(err)
			}
		})
	}
}

// checkResults checks that only streams of a reset engine break, that no engine started a request that was reported as
// not_run, and that all running instances reach the newest ticket. Refusals must have one of the given kinds.
func (ft *failureTest) checkResults(running []*fleet.Node, refusals ...core.ErrorKind) {
	ft.t.Helper()
	results := append(ft.streams.Wait(), ft.load.Close()...)
	for _, r := range results {
		switch err := r.CheckCompleteOrError(r.ChatRequest); {
		case err != nil:
			ft.t.Error(err)
		case r.Err == nil:
		case r.NotRun():
			if !slices.Contains(refusals, r.Err.Kind) {
				ft.t.Errorf("refused: %s", r)
			}
			if n := ft.StartsOf(core.RequestID(r.Err.RequestID)); n > 0 {
				ft.t.Errorf("reported as not_run, but engines started it %d times: %s", n, r)
			}
		case r.Err.Kind == core.KindStreamBroken && !r.NonStreaming:
			if !ft.lost[core.RequestID(r.Err.RequestID)] {
				ft.t.Errorf("broke, but no engine has lost it: %s", r)
			}
		default:
			ft.t.Error(r)
		}
	}
	gap, took := results.LongestGapAndDuration()
	ft.t.Logf("%v, engines lost %d generations, longest gap %s, longest request %s", results.CountByOutcome(), len(ft.lost), gap, took)
	newest := core.TicketNumber(0)
	for _, n := range running {
		newest = max(newest, n.TicketNumber())
	}
	for _, n := range running {
		ft.is.NoErr(fleet.Wait(ticketBound, "newest ticket in force", func() bool { return n.TicketNumber() == newest }))
	}
	// More than the 6 requests that began before the failures, so requests of the load completed too.
	ft.is.True(results.CountByOutcome()["complete"] > 10)
}

// resetRunner resets a model runner, so that its generations are lost as in a machine failure.
func (ft *failureTest) resetRunner(i int) {
	for _, l := range ft.Runners[i].Reset() {
		if l.EndedAt.IsZero() || !ft.partitionedAt.IsZero() && l.EndedAt.After(ft.partitionedAt) {
			ft.lost[l.RequestID] = true
		}
	}
}

// stopOwnerInOutage shuts the owner down gracefully during an outage of the store, while an engine loses all its generations.
func stopOwnerInOutage(mode objs.Outage) func(ft *failureTest) {
	return func(ft *failureTest) {
		owner, _ := ft.ownerAndOther()
		ft.Platform.SetOutage(mode)
		stopped := make(chan error, 1)
		go func() { stopped <- owner.Stop() }()
		ft.is.NoErr(fleet.Wait(startLimit, "owner leaves", func() bool { return !owner.Ready() }))
		ft.resetRunner(ft.ServingRunner())
		ft.is.NoErr(<-stopped)
		ft.Platform.SetOutage(objs.OutageNone)
		remaining := slices.DeleteFunc(ft.NodesCopy(), func(n *fleet.Node) bool { return n == owner })
		var number uint64
		ft.is.NoErr(fleet.Wait(startLimit, "ticket accepted after the outage", func() (ok bool) {
			var err *core.Error
			number, err = remaining[0].ApplyTyped(fleet.TeamTicket("nagasaki", "morning", 1, 3))
			return err == nil
		}))
		for _, n := range remaining {
			ft.is.NoErr(fleet.Wait(ticketBound, "ticket in force", func() bool { return n.TicketNumber() == core.TicketNumber(number) }))
		}
		ft.checkResults(remaining)
	}
}

// applyTickets applies tickets for one team until stop is closed. A ticket that gets no answer is retried with the same id at
// another instance, as an operator does. It returns the ticket numbers and the last weight.
func (ft *failureTest) applyTickets(author string, stop <-chan struct{}) (numbers []uint64, weight int64) {
	base := uint64(1)
	for {
		select {
		case <-stop:
			return numbers, weight
		case <-time.After(150 * time.Millisecond):
		}
		weight++
		ticket := fleet.TeamTicket(author, author, base, weight)
		deadline := time.Now().Add(startLimit)
		for i := len(numbers); ; i++ {
			nodes := ft.NodesCopy()
			n, err := nodes[i%len(nodes)].ApplyTyped(ticket)
			if err == nil {
				base = n
				break
			}
			if err.Kind == core.KindConflict || err.Kind == core.KindBadRequest || time.Now().After(deadline) {
				ft.t.Errorf("ticket of author %s was not accepted: %v", author, err)
				return numbers, weight
			}
			time.Sleep(20 * time.Millisecond) // the instance has stopped; try another
		}
		numbers = append(numbers, base)
	}
}

// replaceWithOperators replaces all instances while two operators apply tickets and the store's answers to the writes are lost.
func replaceWithOperators(ft *failureTest) {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	authors := []string{"morning", "afternoon"}
	numbers, weights := make([][]uint64, 2), make([]int64, 2)
	for i, author := range authors {
		wg.Go(func() { numbers[i], weights[i] = ft.applyTickets(author, stop) })
	}
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
				ft.Platform.LoseAnswers(1, "tickets/")
			}
		}
	})
	old := ft.NodesCopy()
	for _, n := range old {
		ft.is.NoErr(ft.ReplaceNode(n, startLimit, 700*time.Millisecond))
	}
	close(stop)
	wg.Wait()
	all := slices.Sorted(slices.Values(slices.Concat(numbers...)))
	ft.is.True(len(all) > 10)
	for i, n := range all {
		ft.is.Equal(n, uint64(i+2)) // each ticket was accepted once; number 1 is the initial configuration
	}
	running := ft.NodesCopy()[len(old):]
	for _, n := range running {
		ft.is.NoErr(fleet.Wait(ticketBound, "last ticket in force", func() bool { return n.TicketNumber() == core.TicketNumber(all[len(all)-1]) }))
	}
	ft.t.Logf("%d and %d tickets", len(numbers[0]), len(numbers[1]))
	for i, author := range authors {
		ft.is.Equal(ft.weights(author, running...), []int64{weights[i], weights[i], weights[i]})
	}
	ft.checkResults(running)
}

// reclaimBehindPartition separates the owner from its peers. At the same time the busiest engine announces that it leaves,
// and its machine is reclaimed 1.5 s later.
func reclaimBehindPartition(ft *failureTest) {
	owner, other := ft.ownerAndOther()
	i := ft.BusiestRunner()
	ft.Runners[i].SetLeaving(true)
	ft.partitionedAt = time.Now()
	owner.PeerLink.Partition()
	number, terr := other.ApplyTyped(fleet.TeamTicket("nagasaki", "morning", 1, 3))
	ft.is.True(terr == nil)
	time.Sleep(1500 * time.Millisecond) // between the announcement and the reclaim
	ft.resetRunner(i)
	ft.RunnerLinks[i].RefuseConnections()
	started := ft.Runners[i].State().Started
	ft.is.NoErr(ft.WaitTicket(ticketBound, number)) // also at the owner, which can still reach the store
	time.Sleep(2 * time.Second)
	ft.is.NoErr(owner.PeerLink.Restore())
	ft.is.NoErr(fleet.Wait(startLimit, "one owner again", func() bool {
		a, _ := ft.Owner()
		return a == owner && other.PoolOwner(fleet.Pool) == owner.ID
	}))
	ft.is.Equal(ft.Runners[i].State().Started, started)
	ft.checkResults(ft.NodesCopy())
}

// floodReplacement sends many urgent calls while all instances are replaced.
func floodReplacement(ft *failureTest) {
	b := caller.StartBalancer(ft.client, ft.NodesCopy)
	defer b.Close()
	flood := startLoad(ft.t, b.Pick, caller.WithClients(30), caller.WithMinOutputTokens(20),
		caller.WithTimeout(3*time.Second), caller.WithPause(50*time.Millisecond))
	ft.is.NoErr(fleet.Wait(startLimit, "calls queue", func() bool { return ft.QueuedCalls() > 0 }))
	old := ft.NodesCopy()
	for _, n := range old {
		ft.is.NoErr(ft.ReplaceNode(n, startLimit, 700*time.Millisecond))
	}
	results := flood.Close()
	ft.t.Logf("urgent calls: %v", results.CountByOutcome())
	for _, r := range results {
		if err := r.CheckCompleteOrError(r.ChatRequest); err != nil {
			ft.t.Error(err)
		}
		if r.Err != nil && (!r.NotRun() || r.Err.Kind != core.KindOverloaded && r.Err.Kind != core.KindDeadline || ft.StartsOf(core.RequestID(r.Err.RequestID)) > 0) {
			ft.t.Error(r)
		}
	}
	ft.is.True(results.CountByOutcome()["complete"] > 20)
	ft.checkResults(ft.NodesCopy()[len(old):], core.KindOverloaded, core.KindDeadline)
}

// TestTwoFailures guards against guarantees that hold under each of two failures and break when both happen at once. A stream
// may break only if its engine has lost it, and a non-streamed answer is regenerated. A protected action runs at most once,
// and a call reported as not_run never ran. Tickets are not lost, accepted twice or rolled back, and a graceful shutdown
// aborts no request.
func TestTwoFailures(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name string
		fail func(ft *failureTest)
		opts []fleet.Option
		key  string
	}{
		{name: "planned stop and lost engine, store refuses", fail: stopOwnerInOutage(objs.OutageRefuse)},
		{name: "planned stop and lost engine, store hangs", fail: stopOwnerInOutage(objs.OutageHang)},
		{name: "instances replaced, two operators, answers of the store lost", fail: replaceWithOperators},
		{name: "owner cut off, engine reclaimed", fail: reclaimBehindPartition},
		{name: "instances replaced, urgent calls surge", fail: floodReplacement, opts: []fleet.Option{smallRunners()}, key: fleet.BackgroundKey},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			limits := fleet.WithSettings(func(s *conf.Settings) { s.StoreTimeoutMs, s.ActionStopMs = 500, new(int64(2000)) })
			ft := &failureTest{testFleet: startFleet(t, append(tt.opts, limits)...), is: is.New(t), lost: map[core.RequestID]bool{}}
			ft.failOnRollback()
			for i := range 6 {
				ft.streams.Go(ft.client, ft.Nodes[i%3].ClientAddress(), chatRequest{Key: tt.key, OutputTokens: 200, NonStreaming: i%3 == 2})
			}
			ft.streams.AwaitTokens()
			ft.load = ft.testFleet.load(caller.WithClients(4), caller.WithMinOutputTokens(30),
				caller.WithKeys(tt.key), caller.WithPause(20*time.Millisecond))
			stop := make(chan struct{})
			var wg sync.WaitGroup
			wg.Go(func() { ft.sendActions(stop) })
			defer wg.Wait()
			defer close(stop)
			tt.fail(ft)
		})
	}
}
