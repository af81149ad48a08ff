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

// smallEngine has little memory and is slow, so that calls queue without a large load.
func smallEngine() fleet.Option {
	return fleet.WithRunners(runner.WithBatch(batch.Config{KVCapacity: 900, StepBase: 40 * time.Millisecond}))
}

// pairs is a world under load in which two things fail at once.
type pairs struct {
	*world
	is *is.I
	// streams run when the failures begin, two at each instance; the others are whole.
	streams caller.Group
	load    *caller.Load
	// lost counts the streams whose generation an engine lost.
	lost int
}

// actions calls protected actions at two instances in turn until stop is closed and checks the runs of each key.
func (p *pairs) actions(stop <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		key := fmt.Sprintf("pair-%d", i)
		nodes := p.List()
		answers := []answer{p.act(nodes[i%len(nodes)], key, 2*time.Second), p.act(nodes[(i+1)%len(nodes)], key, 2*time.Second)}
		p.t.Cleanup(func() { // what runs late must still be found
			if err := caller.CheckRuns(key, p.Services[0].Runs(key), answers); err != nil {
				p.t.Error(err)
			}
		})
	}
}

// end checks everything that was answered: only streams that an engine lost may break, nothing that was told not_run was
// started, and the instances that run have the newest ticket.
func (p *pairs) end(running []*fleet.Node, refusals ...core.Kind) {
	p.t.Helper()
	results := append(p.streams.Wait(), p.load.Close()...)
	broken := 0
	for _, r := range results {
		switch err := r.Honest(r.Ask); {
		case err != nil:
			p.t.Error(err)
		case r.Err == nil:
		case r.NotRun():
			if !slices.Contains(refusals, r.Err.Kind) {
				p.t.Errorf("refused: %s", r)
			}
			if n := p.Starts(core.RequestID(r.Err.RequestID)); n > 0 {
				p.t.Errorf("told not_run, but engines started it %d times: %s", n, r)
			}
		case r.Err.Kind == core.KindStreamBroken && !r.Whole:
			broken++
		default:
			p.t.Error(r)
		}
	}
	if broken > p.lost {
		p.t.Errorf("%d streams broke, but engines lost only %d", broken, p.lost)
	}
	gap, took := results.Longest()
	p.t.Logf("%v, engines lost %d streams, longest gap %s, longest request %s", results.Kinds(), p.lost, gap, took)
	newest := core.TicketNumber(0)
	for _, n := range running {
		newest = max(newest, n.Ticket())
	}
	for _, n := range running {
		p.is.NoErr(fleet.Wait(ticketBound, "newest ticket in force", func() bool { return n.Ticket() == newest }))
	}
	p.is.True(results.Kinds()["complete"] > 10) // 6 of them began before the failures
}

// lose resets an engine, as when its machine ends.
func (p *pairs) lose(i int) {
	p.lost += int(p.Runners[i].State().OpenStreams)
	p.Runners[i].Reset()
}

// stopWithout stops the owner as planned in an outage of the store, while an engine loses all its generations.
func stopWithout(mode objs.Outage) func(p *pairs) {
	return func(p *pairs) {
		owner, _ := p.owner()
		p.Platform.SetOutage(mode)
		stopped := make(chan error, 1)
		go func() { stopped <- owner.Stop() }()
		p.is.NoErr(fleet.Wait(startLimit, "owner leaves", func() bool { return !owner.Ready() }))
		p.lose(p.Serving())
		p.is.NoErr(<-stopped)
		p.Platform.SetOutage(objs.OutageNone)
		left := slices.DeleteFunc(p.List(), func(n *fleet.Node) bool { return n == owner })
		var number uint64
		p.is.NoErr(fleet.Wait(startLimit, "ticket accepted after the outage", func() (ok bool) {
			var err *core.Error
			number, err = left[0].Try(fleet.TeamTicket("nagasaki", "morning", 1, 3))
			return err == nil
		}))
		for _, n := range left {
			p.is.NoErr(fleet.Wait(ticketBound, "ticket in force", func() bool { return n.Ticket() == core.TicketNumber(number) }))
		}
		p.end(left)
	}
}

// operator applies tickets for one team until stop is closed; one without an answer is applied again with the same id at
// another instance, as the command line's user does. It returns the numbers and the last weight.
func (p *pairs) operator(author string, stop <-chan struct{}) (numbers []uint64, weight int64) {
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
			nodes := p.List()
			n, err := nodes[i%len(nodes)].Try(ticket)
			if err == nil {
				base = n
				break
			}
			if err.Kind == core.KindConflict || err.Kind == core.KindBadRequest || time.Now().After(deadline) {
				p.t.Errorf("ticket of %s was not accepted: %v", author, err)
				return numbers, weight
			}
			time.Sleep(20 * time.Millisecond) // the instance has stopped
		}
		numbers = append(numbers, base)
	}
}

// replaceWithOperators replaces all instances while two operators apply tickets and the answers to their writes are lost.
func replaceWithOperators(p *pairs) {
	stop := make(chan struct{})
	var side sync.WaitGroup
	authors := []string{"morning", "afternoon"}
	numbers, weights := make([][]uint64, 2), make([]int64, 2)
	for i, author := range authors {
		side.Go(func() { numbers[i], weights[i] = p.operator(author, stop) })
	}
	side.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
				p.Platform.LoseAnswers(1, "tickets/")
			}
		}
	})
	old := p.List()
	for _, n := range old {
		p.is.NoErr(p.Replace(n, startLimit, 700*time.Millisecond))
	}
	close(stop)
	side.Wait()
	all := slices.Sorted(slices.Values(slices.Concat(numbers...)))
	p.is.True(len(all) > 10)
	for i, n := range all {
		p.is.Equal(n, uint64(i+2)) // each ticket was accepted once, after the first configuration
	}
	running := p.List()[len(old):]
	for _, n := range running {
		p.is.NoErr(fleet.Wait(ticketBound, "last ticket in force", func() bool { return n.Ticket() == core.TicketNumber(all[len(all)-1]) }))
	}
	p.t.Logf("%d and %d tickets", len(numbers[0]), len(numbers[1]))
	for i, author := range authors {
		p.is.Equal(p.weights(author, running...), []int64{weights[i], weights[i], weights[i]})
	}
	p.end(running)
}

// reclaimBehindPartition cuts the owner off from the entries while the engine that serves most is reclaimed 1.5 s after its notice.
func reclaimBehindPartition(p *pairs) {
	owner, other := p.owner()
	i := p.Busiest()
	p.Runners[i].SetLeaving(true)
	owner.PeerLink.Partition()
	number, terr := other.Try(fleet.TeamTicket("nagasaki", "morning", 1, 3))
	p.is.True(terr == nil)
	time.Sleep(1500 * time.Millisecond) // the notice
	p.lose(i)
	p.RunnerLinks[i].Refuse()
	started := p.Runners[i].State().Started
	p.is.NoErr(p.WaitTicket(ticketBound, number)) // also at the owner, which still reaches the store
	time.Sleep(2 * time.Second)
	p.is.NoErr(owner.PeerLink.Restore())
	p.is.NoErr(fleet.Wait(startLimit, "one owner again", func() bool {
		a, _ := p.Owner()
		return a == owner && other.Owner(fleet.Pool) == owner.ID
	}))
	p.is.Equal(p.Runners[i].State().Started, started)
	p.end(p.List())
}

// floodReplacement sends many urgent calls while all instances are replaced.
func floodReplacement(p *pairs) {
	b := caller.StartBalancer(p.client, p.List)
	defer b.Close()
	flood := startLoad(p.t, b.Pick, caller.WithClients(30), caller.WithOutput(20), caller.WithTimeout(3*time.Second), caller.WithPause(50*time.Millisecond))
	p.is.NoErr(fleet.Wait(startLimit, "calls queue", func() bool { return p.Waiting() > 0 }))
	old := p.List()
	for _, n := range old {
		p.is.NoErr(p.Replace(n, startLimit, 700*time.Millisecond))
	}
	results := flood.Close()
	p.t.Logf("urgent calls: %v", results.Kinds())
	for _, r := range results {
		if err := r.Honest(r.Ask); err != nil {
			p.t.Error(err)
		}
		if r.Err != nil && (!r.NotRun() || r.Err.Kind != core.KindOverloaded && r.Err.Kind != core.KindDeadline || p.Starts(core.RequestID(r.Err.RequestID)) > 0) {
			p.t.Error(r)
		}
	}
	p.is.True(results.Kinds()["complete"] > 20)
	p.end(p.List()[len(old):], core.KindOverloaded, core.KindDeadline)
}

// TestTwoFailures guards against promises that hold under each of two failures and break when both happen at once:
// streams that break although their engine lives, whole answers that are not regenerated, not_run for calls that ran,
// second runs of protected actions, tickets that are lost, accepted twice or go back, and requests that a planned stop cuts off.
func TestTwoFailures(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct {
		name string
		fail func(p *pairs)
		opts []fleet.Option
		key  string
	}{
		{name: "planned stop and lost engine, store refuses", fail: stopWithout(objs.OutageRefuse)},
		{name: "planned stop and lost engine, store hangs", fail: stopWithout(objs.OutageHang)},
		{name: "instances replaced, two operators, answers of the store lost", fail: replaceWithOperators},
		{name: "owner cut off, engine reclaimed", fail: reclaimBehindPartition},
		{name: "instances replaced, urgent calls surge", fail: floodReplacement, opts: []fleet.Option{smallEngine()}, key: fleet.SlowKey},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			limits := fleet.WithSettings(func(s *conf.Settings) { s.StoreTimeoutMs, s.ActionStopMs = 500, new(int64(2000)) })
			p := &pairs{world: start(t, append(tt.opts, limits)...), is: is.New(t)}
			p.neverBack()
			for i := range 6 {
				p.streams.Go(p.client, p.Nodes[i%3].ClientAddress(), ask{Key: tt.key, Output: 200, Whole: i%3 == 2})
			}
			p.streams.AwaitTokens()
			p.load = p.world.load(caller.WithClients(4), caller.WithOutput(30), caller.WithKeys(tt.key), caller.WithPause(20*time.Millisecond))
			stop := make(chan struct{})
			var side sync.WaitGroup
			side.Go(func() { p.actions(stop) })
			defer side.Wait()
			defer close(stop)
			tt.fail(p)
		})
	}
}
