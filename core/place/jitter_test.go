package place_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/core/fleet"
	"snipeshed/core/place"
	"snipeshed/core/tally"
)

// TestWaitingCallsSpread guards against a thundering herd: calls that wait at many instances all go to a new engine before
// the instances receive each other's reports. The engine processes the prompts one after another, and the last calls are
// late by seconds (scenario: engines return during a surge of long calls).
func TestWaitingCallsSpread(t *testing.T) {
	is := is.New(t)
	const instances, runs, reportDelay = 14, 400, 6 * time.Millisecond
	rng := rand.New(rand.NewPCG(1, 1))
	over := 0
	for range runs {
		if promptTokensSent(rng, instances, reportDelay) > 15_000 { // prompt tokens, about two seconds of prefill
			over++
		}
	}
	is.True(over <= runs/10)
}

// promptTokensSent lets one call per instance try placement at a random time and returns the sum of the prompt tokens.
func promptTokensSent(rng *rand.Rand, instances int, reportDelay time.Duration) core.Tokens {
	engine := &fleet.Status{Endpoint: core.Endpoint{ID: "new", Service: "lm", Domain: "d0"}}
	attempts := make([]time.Duration, instances)
	for i := range attempts {
		attempts[i] = time.Duration(rng.Int64N(int64(place.JitterWindow(instances))))
	}
	slices.Sort(attempts)
	var sent []time.Duration
	for i, at := range attempts {
		loads := tally.New()
		for j, before := range sent {
			if before+reportDelay <= at {
				loads.ReplacePeer(now, now.Add(time.Minute), core.InstanceID(fmt.Sprint(j)), map[core.EndpointID]tally.Load{
					"new": {Calls: 1, Tokens: longCall.Tokens, PrefillTokens: longCall.PrefillTokens},
				})
			}
		}
		sel := place.New(core.FailureDomain(fmt.Sprint("d", i%3)), loads)
		if sel.HasRoom(now, service(), engine, longCall) {
			sent = append(sent, at)
		}
	}
	return core.Tokens(len(sent)) * longCall.PrefillTokens
}
