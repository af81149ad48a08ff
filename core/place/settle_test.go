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

// TestNewEngine guards against calls that wait at many instances and all go to the engine that appears, before they hear of
// each other: their prompts are read one after another, and the last are late by seconds (pattern: engines come back in a
// surge of long work).
func TestNewEngine(t *testing.T) {
	is := is.New(t)
	const instances, runs, tell = 14, 400, 6 * time.Millisecond
	draw := rand.New(rand.NewPCG(1, 1))
	over := 0
	for range runs {
		if waitingCalls(draw, instances, tell) > 15_000 { // tokens to read, some two seconds
			over++
		}
	}
	is.True(over <= runs/10)
}

// waitingCalls lets a call at each instance look for room at its moment and returns the prompt tokens at the new engine.
func waitingCalls(draw *rand.Rand, instances int, tell time.Duration) core.Tokens {
	engine := &fleet.Status{Endpoint: core.Endpoint{ID: "new", Service: "lm", Domain: "d0"}}
	looks := make([]time.Duration, instances)
	for i := range looks {
		looks[i] = time.Duration(draw.Int64N(int64(place.Settle(instances))))
	}
	slices.Sort(looks)
	var sent []time.Duration
	for i, at := range looks {
		y := tally.New()
		for j, before := range sent {
			if before+tell <= at {
				y.Report(now, now.Add(time.Minute), core.InstanceID(fmt.Sprint(j)), map[core.EndpointID]tally.Use{
					"new": {Calls: 1, Tokens: long.Tokens, Unread: long.Unread},
				})
			}
		}
		p := place.New(core.FailureDomain(fmt.Sprint("d", i%3)), y)
		if p.Room(now, service(), engine, long) {
			sent = append(sent, at)
		}
	}
	return core.Tokens(len(sent)) * long.Unread
}
