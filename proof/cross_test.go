package proof

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/stand/caller"
	"snipeshed/stand/fleet"
	"snipeshed/stand/runner"
)

// TestCrossedAnswers guards against an answer, or a part of one, that reaches the client of another request, and against a
// stream that never ends because its engine always answers with another generation.
func TestCrossedAnswers(t *testing.T) {
	t.Parallel()
	swapAnswers := func(tf *testFleet, n int) {
		for _, r := range tf.Runners {
			r.SwapAnswers(n)
		}
	}
	killStreams := func(tf *testFleet) {
		for _, r := range tf.Runners {
			r.KillStreams()
		}
	}
	tests := []struct {
		name string
		// beforeCalls is called before the calls are sent, duringCalls while they run.
		beforeCalls, duringCalls func(tf *testFleet)
		// counter is the metric that must count the fault.
		counter string
		// awaitTokens reports whether duringCalls is called only after the streams have received tokens.
		awaitTokens bool
		// allComplete reports whether every call must complete, since a retry within the budget gets the right answer.
		allComplete bool
	}{
		{name: "some answers swapped", counter: "crossed_answers", allComplete: true, beforeCalls: func(tf *testFleet) { swapAnswers(tf, 2) }, duringCalls: func(*testFleet) {}},
		{name: "all answers swapped", counter: "crossed_answers", beforeCalls: func(tf *testFleet) { swapAnswers(tf, 1<<20) }, duringCalls: func(*testFleet) {}},
		{name: "resumed answers swapped", counter: "crossed_answers", awaitTokens: true, allComplete: true, beforeCalls: func(*testFleet) {}, duringCalls: func(tf *testFleet) {
			swapAnswers(tf, 2)
			killStreams(tf)
		}},
		{name: "all resumed answers swapped", counter: "crossed_answers", awaitTokens: true, beforeCalls: func(*testFleet) {}, duringCalls: func(tf *testFleet) {
			swapAnswers(tf, 1<<20)
			killStreams(tf)
		}},
		{name: "late answers", counter: "regenerated", allComplete: true, beforeCalls: func(tf *testFleet) {
			tf.Runners[0].Freeze(runner.ScopeEngine)
			time.AfterFunc(18*time.Second, func() { tf.Runners[0].Thaw(runner.ScopeEngine) }) // after the calls have been retried elsewhere
		}, duringCalls: func(*testFleet) {}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			tf := startFleet(t)
			tt.beforeCalls(tf)
			var calls caller.Group
			for i := range 12 {
				calls.Go(tf.client, tf.Nodes[i%len(tf.Nodes)].ClientAddress(), chatRequest{OutputTokens: 150, NonStreaming: i%2 == 0, Timeout: 40 * time.Second, CallbackAt: 5})
			}
			if tt.awaitTokens {
				calls.AwaitTokens()
			}
			tt.duringCalls(tf)
			results := calls.Wait()
			for _, err := range results.Errors(caller.CheckCompleteOrError) {
				t.Error(err)
			}
			completed, count, resumed := results.CountByOutcome()["complete"], tf.CounterSum(tt.counter), tf.ResumedStreams()
			_, longest := results.LongestGapAndDuration()
			t.Logf("%d of %d complete, %v, %s %d, %d resumes, the longest took %s", completed, len(results), results.CountByOutcome(), tt.counter, count, resumed, longest)
			is.True(count > 0)
			is.True(resumed <= 40*len(results)) // resumes are delayed by a backoff, not sent as fast as the engine answers
			is.True(!tt.allComplete || completed == len(results))
			is.NoErr(fleet.Wait(startLimit, "streams ended", func() bool {
				swapAnswers(tf, 0)
				return tf.OpenStreams() == 0
			}))
		})
	}
}
