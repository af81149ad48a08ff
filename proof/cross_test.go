package proof

import (
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
			var calls caller.Group
			for i := range 12 {
				calls.Go(w.client, w.Nodes[i%len(w.Nodes)].ClientAddress(), ask{Output: 150, Whole: i%2 == 0, Timeout: 40 * time.Second, At: 5})
			}
			if tt.running {
				calls.AwaitTokens()
			}
			tt.then(w)
			results := calls.Wait()
			for _, err := range results.Check(caller.IsHonest) {
				t.Error(err)
			}
			completed, count, resumed := results.Kinds()["complete"], w.Counted(tt.counter), w.Resumed()
			_, longest := results.Longest()
			t.Logf("%d of %d complete, %v, %s %d, %d resumes, the longest took %s", completed, len(results), results.Kinds(), tt.counter, count, resumed, longest)
			is.True(count > 0)
			is.True(resumed <= 40*len(results)) // backoff: not as fast as the engine answers wrongly
			is.True(!tt.allComplete || completed == len(results))
			is.NoErr(fleet.Wait(startLimit, "streams ended", func() bool {
				swap(w, 0)
				return w.OpenStreams() == 0
			}))
		})
	}
}
