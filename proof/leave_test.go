package proof

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/conf"
	"snipeshed/core/member"
	"snipeshed/stand/batch"
	"snipeshed/stand/caller"
	"snipeshed/stand/fleet"
	"snipeshed/stand/objs"
	"snipeshed/stand/runner"
	"snipeshed/wire"
)

// load sends streamed and whole requests from some clients until stop is closed.
type load struct {
	mu      sync.Mutex
	answers []answer
	errs    []error
	wg      sync.WaitGroup
	stop    chan struct{}
	once    sync.Once
}

// startLoad lets n clients take turns among the instances that pick returns, as the platform's balancer does.
func startLoad(t *testing.T, n, output int, pick func(i int) (c *http.Client, address string)) *load {
	l := &load{stop: make(chan struct{})}
	t.Cleanup(l.close) // also when the test ends early
	for i := range n {
		l.wg.Go(func() {
			for j := i; ; j++ {
				select {
				case <-l.stop:
					return
				default:
				}
				q := ask{Output: output + j%7, Mark: caller.NewMark(), Whole: j%3 == 0, Timeout: 20 * time.Second}
				c, address := pick(j)
				if c == nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				l.add(caller.Chat(c, address, &q), q)
			}
		})
	}
	return l
}

func (l *load) add(a answer, q ask) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers = append(l.answers, a)
	if err := a.Complete(q); err != nil && !a.NotRun() {
		l.errs = append(l.errs, err)
	}
}

func (l *load) close() {
	l.once.Do(func() { close(l.stop) })
	l.wg.Wait()
}

// end waits for the open requests and returns the counts; a request that failed without the proof of not_run is an error.
func (l *load) end(t *testing.T) (completed, refused int) {
	t.Helper()
	l.close()
	kinds := map[string]int{}
	for _, a := range l.answers {
		if a.NotRun() {
			kinds[string(a.Err.Kind)]++
			refused++
		}
	}
	for _, err := range l.errs {
		t.Error(err)
	}
	completed = len(l.answers) - refused - len(l.errs)
	t.Logf("%d requests: %d completed, %d refused as not_run %v, %d failed", len(l.answers), completed, refused, kinds, len(l.errs))
	return completed, refused
}

// fresh sends each request on a new connection and skips instances that fail their readiness check.
func (w *world) fresh() func(i int) (*http.Client, string) {
	var mu sync.Mutex
	ready := []*fleet.Node{}
	go func() {
		for w.t.Context().Err() == nil {
			var now []*fleet.Node
			for _, n := range w.nodes() {
				if n.Ready() {
					now = append(now, n)
				}
			}
			mu.Lock()
			ready = now
			mu.Unlock()
			time.Sleep(20 * time.Millisecond)
		}
	}()
	return func(i int) (*http.Client, string) {
		mu.Lock()
		defer mu.Unlock()
		if len(ready) == 0 {
			return nil, ""
		}
		return w.client, ready[i%len(ready)].ClientAddress()
	}
}

// defaultIntervals restores the intervals and the lag of the list, from which the bounds of leaving follow.
func defaultIntervals() []fleet.Option {
	return []fleet.Option{
		fleet.WithPlatform(objs.WithListLag(time.Second)),
		fleet.WithSettings(func(s *conf.Settings) { s.ListPollMs, s.GossipIntervalMs, s.LoadPollMs = 1000, 1000, 2000 }),
	}
}

// TestEndpointLeaves guards against new work at an endpoint that has been leaving for 3 s, and against running work that is cut off.
func TestEndpointLeaves(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name  string
		quiet bool
		leave func(w *world, i int)
	}{
		{name: "by its load report only", quiet: true, leave: func(w *world, i int) { w.Runners[i].SetLeaving(true) }},
		{name: "by its own word", leave: func(w *world, i int) { w.Runners[i].SetLeaving(true) }},
		{name: "by the instance list", leave: func(w *world, i int) {
			w.Platform.SetInstance(objs.Instance{
				ID: fmt.Sprintf("runner-%d", i), Address: w.RunnerLinks[i].Addr(), FailureDomain: fleet.Domains[i],
				Kind: member.KindEndpoint, State: member.StateLeaving,
			})
		}},
		{name: "by a ticket that removes it", leave: func(w *world, i int) {
			w.apply(w.Nodes[1], &wire.Ticket{Id: caller.NewMark(), Author: "morning", Base: 1, Items: []*wire.Item{{
				Body: &wire.Item_Remove{Remove: &wire.Removal{Item: fmt.Sprintf("endpoint/runner-%d", i)}},
			}}})
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := startWith(t, []runner.Option{runner.WithQuietLeave(tt.quiet)}, defaultIntervals()...)
			_, entry := w.owner()
			// One long answer at each runner, so that new work would go to all of them.
			var long [3]ask
			var running [3]answer
			var side sync.WaitGroup
			for k := range long {
				long[k] = ask{Output: 800, Mark: caller.NewMark()} // over 6 s, longer than the bound
				side.Go(func() { running[k] = w.chat(entry, long[k]) })
				is.NoErr(fleet.Wait(startLimit, "long answer runs", func() bool { return w.total() == k+1 }))
			}
			l := startLoad(t, 6, 10, w.fresh())
			i := 0 // the runner that takes most of the work
			is.NoErr(fleet.Wait(startLimit, "a runner takes work", func() bool {
				for k, r := range w.Runners {
					if r.State().Started > w.Runners[i].State().Started {
						i = k
					}
				}
				return w.Runners[i].State().Started > 10
			}))
			left, had := time.Now(), w.Runners[i].State().Started
			tt.leave(w, i)
			time.Sleep(time.Until(left.Add(leaveBound)))
			before := w.Runners[i].State().Started
			time.Sleep(1500 * time.Millisecond)
			after := w.Runners[i].State().Started
			completed, _ := l.end(t)
			side.Wait()
			is.True(had > 10)       // it took work before
			is.True(completed > 50) // the others took the work
			is.Equal(after, before) // no new work after the bound
			for k := range long {
				is.NoErr(running[k].Complete(long[k])) // running work was finished
			}
			t.Logf("the runner started %d generations before it left, %d within the bound and %d after it", had, before-had, after-before)
		})
	}
}

// total returns how many generations all runners started.
func (w *world) total() int {
	n := 0
	for _, r := range w.Runners {
		n += int(r.State().Started)
	}
	return n
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
	w := startWith(t, []runner.Option{runner.WithBatch(engine)})
	owner, entry := w.owner()
	type result struct {
		a answer
		q ask
	}
	results := make(chan result, 400)
	var calls sync.WaitGroup
	for i := range n {
		q := ask{Key: []string{fleet.SlowKey, fleet.OtherKey}[i%2], Output: output, Mark: caller.NewMark(), Whole: i%4 == 0}
		n := []*fleet.Node{owner, entry}[i/2%2]
		calls.Go(func() { results <- result{w.chat(n, q), q} })
	}
	waiting := 0
	if err := fleet.Wait(startLimit, "queued calls", func() bool {
		waiting = w.waiting()
		return waiting > 0 && waiting+w.total() >= known
	}); err != nil {
		t.Fatal(err)
	}
	if err := owner.Stop(); err != nil {
		t.Error(err)
	}
	calls.Wait()
	close(results)
	kinds := map[string]int{}
	for r := range results {
		err := r.a.Complete(r.q)
		switch {
		case err == nil:
			kinds["completed"]++
		case r.a.NotRun():
			kinds["refused "+string(r.a.Err.Kind)]++
			t.Errorf("refused: %s", r.a)
		default:
			t.Error(err)
		}
	}
	t.Logf("%d calls were queued at the stop; %v", waiting, kinds)
	if waiting == 0 {
		t.Error("no call was queued, so the case is not covered")
	}
}

// waiting returns the number of queued calls in the open pools.
func (w *world) waiting() int {
	n := 0
	for _, node := range w.nodes() {
		for _, r := range node.Waiting() {
			n += r
		}
	}
	return n
}

// TestRollingReplacement guards against requests that fail while all instances are replaced one after the other.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := start(t)
	l := startLoad(t, 8, 40, w.fresh())
	for _, old := range slices.Clone(w.Nodes) {
		w.mu.Lock()
		next, err := w.AddNode()
		w.mu.Unlock()
		is.NoErr(err)
		is.NoErr(fleet.Wait(startLimit, "replacement ready", next.Ready))
		time.Sleep(700 * time.Millisecond)
		is.NoErr(old.Stop())
		w.Platform.SetInstance(objs.Instance{
			ID: string(old.ID), Address: old.PeerLink.Addr(), FailureDomain: fleet.Domains[0], Kind: member.KindInstance, State: member.StateGone,
		})
	}
	time.Sleep(time.Second)
	completed, refused := l.end(t)
	is.True(completed > 50)
	is.True(refused <= completed/10) // the balancer sees readiness fail before an instance refuses
}

// TestEndpointReturns guards against an endpoint that stays unused after it stopped leaving.
func TestEndpointReturns(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := start(t)
	l := startLoad(t, 6, 10, w.fresh())
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
	l.end(t)
}
