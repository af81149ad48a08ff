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

// TestStaleOwnLoad guards against a thundering herd within a failure domain: dozens of instances that choose an engine by the same
// reports, which are milliseconds old, all choose the one with the most free memory, and its prompts are processed one after
// another (scenario: a surge of long and short calls in a large fleet).
func TestStaleOwnLoad(t *testing.T) {
	const (
		engines, calls = 20, 20_000
		perSecond      = 36 // calls, every second one long
		reportDelay    = 15 * time.Millisecond
		generation     = 5 * time.Second // of a long call
		limit          = 1100 * time.Millisecond
	)
	rng := rand.New(rand.NewPCG(1, 2))
	var all []*fleet.Status
	for i := range engines {
		all = append(all, &fleet.Status{Endpoint: core.Endpoint{ID: core.EndpointID(fmt.Sprint("e", i)), Service: "lm", Domain: "d0"}})
	}
	loads := tally.New()
	sel := place.New("d0", loads, place.WithInstances(func() int { return 126 }), place.WithRandom(rng.Float64))
	var open []openCall
	busyUntil := map[core.EndpointID]time.Time{}
	late, at := 0, now
	for i := range calls {
		at = at.Add(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
		open = slices.DeleteFunc(open, func(c openCall) bool { return at.Sub(c.ends) > reportDelay })
		loads.ReplacePeer(at, at.Add(time.Minute), "peer", reportedLoads(open, at.Add(-reportDelay)))
		d, generates := longCall, generation
		if i%2 == 0 {
			d, generates = place.Demand{Tokens: 2300, PrefillTokens: 2200}, 0
		}
		id := sel.ChooseEndpoint(at, service(), all, d, nil).ID
		first := place.PrefillTime(d.PrefillTokens) + max(busyUntil[id].Sub(at), 0)
		busyUntil[id] = at.Add(first)
		open = append(open, openCall{id, d, at, at.Add(first), at.Add(first + generates)})
		if first > limit {
			late++
		}
	}
	t.Logf("%d of %d late", late, calls)
	is.New(t).True(late <= calls/80)
}

// openCall is a call at an engine.
type openCall struct {
	engine                  core.EndpointID
	demand                  place.Demand
	begun, firstEvent, ends time.Time
}

// reportedLoads returns the load of the calls as it was at a time.
func reportedLoads(open []openCall, at time.Time) map[core.EndpointID]tally.Load {
	out := map[core.EndpointID]tally.Load{}
	for _, c := range open {
		if c.begun.After(at) || !c.ends.After(at) {
			continue
		}
		l := out[c.engine]
		l.Calls++
		l.Tokens += c.demand.Tokens
		if c.firstEvent.After(at) {
			l.PrefillTokens += c.demand.PrefillTokens
		}
		out[c.engine] = l
	}
	return out
}
