package proof

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/stand/caller"
	"snipeshed/stand/fleet"
	"snipeshed/stand/runner"
)

// TestCrossedAnswers guards against an answer, or a part of one, that reaches the caller of another request, and against
// a stream that never ends because its engine always answers with another generation.
func TestCrossedAnswers(t *testing.T) {
	t.Parallel()
	swap := func(w *world, n int) {
		for _, r := range w.Runners {
			r.Swap(n)
		}
	}
	kill := func(w *world) {
		for _, r := range w.Runners {
			r.KillStreams()
		}
	}
	tests := []struct {
		name string
		// before comes before the calls, then while they run.
		before, then func(w *world)
		// counter shows that the case was reached.
		counter string
		// running lets the streams get tokens first.
		running bool
		// allComplete is set where a retry is certain to get the right answer within the retry budget.
		allComplete bool
	}{
		{name: "some answers swapped", counter: "crossed_answers", allComplete: true, before: func(w *world) { swap(w, 2) }, then: func(*world) {}},
		{name: "all answers swapped", counter: "crossed_answers", before: func(w *world) { swap(w, 1<<20) }, then: func(*world) {}},
		{name: "resumed answers swapped", counter: "crossed_answers", running: true, allComplete: true, before: func(*world) {}, then: func(w *world) {
			swap(w, 2)
			kill(w)
		}},
		{name: "all resumed answers swapped", counter: "crossed_answers", running: true, before: func(*world) {}, then: func(w *world) {
			swap(w, 1<<20)
			kill(w)
		}},
		{name: "late answers", counter: "regenerated", allComplete: true, before: func(w *world) {
			w.Runners[0].Freeze(runner.ScopeEngine)
			time.AfterFunc(18*time.Second, func() { w.Runners[0].Thaw(runner.ScopeEngine) }) // after the answers were given up
		}, then: func(*world) {}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := start(t)
			tt.before(w)
			var calls sync.WaitGroup
			answers, asks := make([]answer, 12), make([]ask, 12)
			var running sync.WaitGroup // streams that have got tokens
			for i := range asks {
				running.Add(1)
				reads := sync.OnceFunc(running.Done)
				asks[i] = ask{Output: 150, Mark: caller.NewMark(), Whole: i%2 == 0, Timeout: 40 * time.Second, At: 5, Then: reads}
				if asks[i].Whole {
					reads()
				}
				calls.Go(func() {
					defer reads() // also when it failed early
					answers[i] = w.chat(w.Nodes[i%len(w.Nodes)], asks[i])
				})
			}
			if tt.running {
				running.Wait()
			}
			tt.then(w)
			calls.Wait()
			completed, kinds, longest := 0, map[string]int{}, time.Duration(0)
			for i, a := range answers {
				if err := a.Honest(asks[i]); err != nil {
					t.Error(err)
				}
				longest = max(longest, a.Took)
				if a.Err != nil {
					kinds[string(a.Err.Kind)+" "+string(a.Err.Run)]++
				} else {
					completed++
				}
			}
			count, resumed := int64(0), int64(0)
			for _, n := range w.Nodes {
				count += n.Meter().Value(tt.counter)
			}
			for _, r := range w.Runners {
				resumed += r.State().Resumed
			}
			t.Logf("%d of %d complete, errors %v, %s %d, %d resumes, the longest took %s", completed, len(answers), kinds, tt.counter, count, resumed, longest)
			is.True(count > 0)
			is.True(resumed <= 40*int64(len(answers))) // backoff: not as fast as the engine answers wrongly
			is.True(!tt.allComplete || completed == len(answers))
			is.NoErr(fleet.Wait(startLimit, "streams ended", func() bool {
				open := int64(0)
				for _, r := range w.Runners {
					r.Swap(0)
					open += r.State().OpenStreams
				}
				return open == 0
			}))
		})
	}
}
