package proof

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/stand/batch"
	"snipeshed/stand/caller"
	"snipeshed/stand/fleet"
	"snipeshed/stand/runner"
)

// TestFloorAtSmallEngines guards against a flood of urgent calls that takes the guaranteed share of a lower rank. The calls
// fill the queues of engines that run few sequences; these serve by priority only, so less urgent calls would wait there
// until their deadlines.
func TestFloorAtSmallEngines(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const clients, longest = 4, 36
	tf := startFleet(t, fleet.WithRunnerOptions(runner.WithBatch(batch.Config{KVCapacity: 1500, MaxRunning: 4, StepBase: 20 * time.Millisecond})))
	flood := tf.load(caller.WithClients(30), caller.WithMinOutputTokens(20),
		caller.WithTimeout(3*time.Second), caller.WithPause(50*time.Millisecond))
	var learned time.Time
	is.NoErr(fleet.Wait(startLimit, "few calls wait at the engines", func() bool {
		waiting := 0
		for _, r := range tf.Runners {
			waiting += r.State().Waiting
		}
		if waiting > len(tf.Runners) || learned.IsZero() {
			learned = time.Now()
		}
		return tf.QueuedCalls() > 0 && time.Since(learned) > time.Second
	}))
	calls := tf.load(caller.WithClients(clients), caller.WithMinOutputTokens(longest-6), caller.WithKeys(fleet.BackgroundKey))
	tokens := func(l *caller.Load) (n int) {
		for _, r := range l.Results() {
			if r.Done {
				n += r.OutputTokens
			}
		}
		return n
	}
	time.Sleep(2 * time.Second) // until the first background calls have ended
	before, floodBefore := tokens(calls), tokens(flood)
	time.Sleep(10 * time.Second)
	kept, other := float64(tokens(calls)-before), float64(tokens(flood)-floodBefore)
	share := kept / (kept + other)
	background, urgent := calls.Close(), flood.Close()
	t.Logf("urgent calls: %v; background calls: %v, %.0f%% of the tokens", urgent.CountByOutcome(), background.CountByOutcome(), 100*share)
	for _, err := range background.Errors(caller.Result.CheckCompleteOrNotRun) {
		t.Error(err)
	}
	// The guaranteed share of the rank is 20% of the tokens, less a tolerance of 5% of it. The open answer of each client is not
	// in the count and is added.
	is.True(kept+clients*longest >= 0.19*(kept+other))
}
