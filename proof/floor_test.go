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

// TestFloorAtSmallEngines guards against a flood of urgent calls that takes the guaranteed share (floor_percent) of a
// lower rank. The urgent calls fill the queues inside engines that run few sequences at once. Engines order their queues by
// priority alone, so less urgent calls would wait there until their deadlines.
func TestFloorAtSmallEngines(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const clients, maxOutput = 4, 36
	tf := startFleet(t, fleet.WithRunnerOptions(runner.WithBatch(batch.Config{KVCapacity: 1500, MaxRunning: 4, StepBase: 20 * time.Millisecond})))
	flood := tf.load(caller.WithClients(30), caller.WithMinOutputTokens(20),
		caller.WithTimeout(3*time.Second), caller.WithPause(50*time.Millisecond))
	var fewWaitingSince time.Time
	is.NoErr(fleet.Wait(startLimit, "few calls wait at the engines", func() bool {
		waiting := 0
		for _, r := range tf.Runners {
			waiting += r.State().Waiting
		}
		if waiting > len(tf.Runners) || fewWaitingSince.IsZero() {
			fewWaitingSince = time.Now()
		}
		return tf.QueuedCalls() > 0 && time.Since(fewWaitingSince) > time.Second
	}))
	calls := tf.load(caller.WithClients(clients), caller.WithMinOutputTokens(maxOutput-6), caller.WithKeys(fleet.BackgroundKey))
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
	backgroundTokens, urgentTokens := float64(tokens(calls)-before), float64(tokens(flood)-floodBefore)
	share := backgroundTokens / (backgroundTokens + urgentTokens)
	background, urgent := calls.Close(), flood.Close()
	t.Logf("urgent calls: %v; background calls: %v, %.0f%% of the tokens", urgent.CountByOutcome(), background.CountByOutcome(), 100*share)
	for _, err := range background.Errors(caller.Result.CheckCompleteOrNotRun) {
		t.Error(err)
	}
	// The guaranteed share of the rank is 20% of the tokens; 19% allows for a tolerance of 5% of that. The count lacks the
	// unfinished answer of each client, so the longest possible one is added.
	is.True(backgroundTokens+clients*maxOutput >= 0.19*(backgroundTokens+urgentTokens))
}
