package place_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/core/fleet"
	"snipeshed/core/place"
	"snipeshed/core/tally"
)

var now = time.Unix(1000, 0)

func service() core.Service {
	return core.Service{Name: "lm", Engine: &core.EngineLimits{
		Slots: 24, Capacity: 34_000, TokenBytes: 96_256, LinkMbps: 14_000, MaxReservation: time.Second, CanMove: true, CanBackUp: true,
	}}
}

func endpointStatuses(n int) []*fleet.Status {
	var out []*fleet.Status
	for i := range n {
		out = append(out, &fleet.Status{Endpoint: core.Endpoint{
			ID: core.EndpointID(fmt.Sprint("e", i)), Service: "lm", Slots: 6, Domain: core.FailureDomain(fmt.Sprint("d", i%3)),
		}})
	}
	return out
}

var longCall = place.Demand{Tokens: 3500, PrefillTokens: 3000, Long: true}

// TestInstancesSpreadCalls guards against a thundering herd: instances that receive each other's load reports at once
// must spread calls evenly (scenario: a surge over many entry instances).
func TestInstancesSpreadCalls(t *testing.T) {
	is := is.New(t)
	all := endpointStatuses(9)
	tables := make([]*tally.LoadTable, 13)
	selectors := make([]*place.Selector, len(tables))
	own := make([]map[core.EndpointID]tally.Load, len(tables))
	for i := range tables {
		tables[i] = tally.New()
		selectors[i] = place.New("d0", tables[i])
		own[i] = map[core.EndpointID]tally.Load{}
	}
	calls := map[core.EndpointID]int{}
	for i := range 45 {
		at := i % len(tables)
		e := selectors[at].ChooseEndpoint(now, service(), all, longCall, nil)
		load := tally.Load{Calls: 1, Tokens: longCall.Tokens, PrefillTokens: longCall.PrefillTokens}
		tables[at].AddOwn(e.ID, load)
		old := own[at][e.ID]
		own[at][e.ID] = tally.Load{Calls: old.Calls + 1, Tokens: old.Tokens + load.Tokens, PrefillTokens: old.PrefillTokens + load.PrefillTokens}
		calls[e.ID]++
		for j, other := range tables {
			if j != at {
				other.ReplacePeer(now, now.Add(time.Minute), core.InstanceID(fmt.Sprint(at)), own[at])
			}
		}
	}
	for id, n := range calls {
		is.True(n >= 4 && n <= 6) // id
		_ = id
	}
}

// TestLongCallsLeaveRoom guards against new long generations that use up the memory needed by short calls and by
// generations that move from another engine (scenario: a surge of long calls while engines shut down).
func TestLongCallsLeaveRoom(t *testing.T) {
	is := is.New(t)
	all := endpointStatuses(1)
	loads := tally.New()
	sel := place.New("d0", loads)
	n := 0
	for !sel.AllFull(now, service(), all, longCall) {
		loads.AddOwn("e0", tally.Load{Calls: 1, Tokens: longCall.Tokens})
		n++
	}
	is.True(n >= 5)
	short := place.Demand{Tokens: 2500, PrefillTokens: 2500}
	is.True(!sel.AllFull(now, service(), all, short))
	source := core.Endpoint{ID: "other", Domain: "d0"}
	is.True(sel.ChooseCopyTarget(now, service(), all, source, place.Demand{Tokens: 3500}, true, nil) != nil)  // the source is leaving
	is.True(sel.ChooseCopyTarget(now, service(), all, source, place.Demand{Tokens: 3500}, false, nil) == nil) // precautionary backup
	is.True(sel.MayLackRoom(now, service(), all[0], short))
}

// TestLargestCalls guards against starvation of the largest calls: an idle engine accepts a call above the limit.
func TestLargestCalls(t *testing.T) {
	is := is.New(t)
	all := endpointStatuses(1)
	loads := tally.New()
	sel := place.New("d0", loads)
	large := place.Demand{Tokens: 33_000, PrefillTokens: 30_000, Long: true}
	is.True(!sel.AllFull(now, service(), all, large))
	loads.AddOwn("e0", tally.Load{Calls: 1, Tokens: 3000})
	is.True(sel.AllFull(now, service(), all, large))
}

// TestPromptBacklog guards against long generations that wait for the prefill of other calls at an engine with free memory:
// if all waiting calls go to one new engine, they start after up to 9 s.
func TestPromptBacklog(t *testing.T) {
	is := is.New(t)
	all := endpointStatuses(1)
	loads := tally.New()
	sel := place.New("d0", loads)
	loads.AddOwn("e0", tally.Load{Calls: 4, Tokens: 12_000, PrefillTokens: 12_000})
	is.True(sel.AllFull(now, service(), all, longCall))
	loads.AddOwn("e0", tally.Load{PrefillTokens: -9_000})
	is.True(!sel.AllFull(now, service(), all, longCall))
}

// TestBacklogWithinObjective guards against long generations whose first event is late although the fleet has memory to spare:
// they wait in an engine for the prefill of others longer than their objective allows (load pattern: several long calls arrive
// in the same moment).
func TestBacklogWithinObjective(t *testing.T) {
	is := is.New(t)
	all := endpointStatuses(1)
	loads := tally.New()
	sel := place.New("d0", loads)
	loads.AddOwn("e0", tally.Load{Calls: 2, Tokens: 7000, PrefillTokens: 6000}) // about 0.86 s of prefill
	tight, loose := longCall, longCall
	tight.Objective, loose.Objective = 1800*time.Millisecond, 4*time.Second
	is.True(sel.AllFull(now, service(), all, tight))
	is.True(!sel.AllFull(now, service(), all, loose))
	loads.AddOwn("e0", tally.Load{PrefillTokens: -3000}) // the first prompt is read
	is.True(!sel.AllFull(now, service(), all, tight))
}

// TestSkipsUnusableEndpoints guards against calls to endpoints that are leaving, tried, unreachable or failing (scenarios:
// engine shutdown, a crash, an endpoint that fails part of its calls).
func TestSkipsUnusableEndpoints(t *testing.T) {
	is := is.New(t)
	all := endpointStatuses(5)
	all[0].Leaving = true
	all[1].UnreachableUntil = now.Add(time.Second)
	loads := tally.New()
	for range 10 {
		loads.RecordOutcome(now, "e2", true)
		loads.RecordOutcome(now, "e3", false)
		loads.RecordOutcome(now, "e4", false)
	}
	sel := place.New("d0", loads)
	plain := core.Service{Name: "app"}
	for range 50 {
		is.Equal(sel.ChooseEndpoint(now, plain, all, place.Demand{}, map[core.EndpointID]bool{"e4": true}).ID, core.EndpointID("e3"))
	}
	all[3].UnreachableUntil, all[4].UnreachableUntil, all[2].UnreachableUntil = all[1].UnreachableUntil, all[1].UnreachableUntil, all[1].UnreachableUntil
	is.True(sel.ChooseEndpoint(now, plain, all, place.Demand{}, nil) != nil) // an endpoint marked unreachable may have recovered
	is.True(sel.ChooseEndpoint(now, plain, all[:1], place.Demand{}, nil) == nil)
}

// TestServiceWideErrors guards against avoiding an endpoint because of failures that all endpoints of the service have in
// common: some calls fail at any endpoint.
func TestServiceWideErrors(t *testing.T) {
	is := is.New(t)
	all := endpointStatuses(3)
	loads := tally.New()
	for i, e := range all {
		for j := range 20 {
			loads.RecordOutcome(now, e.ID, j%7 == i%7)
		}
	}
	sel := place.New("none", loads)
	counts := map[core.EndpointID]int{}
	for range 300 {
		counts[sel.ChooseEndpoint(now, core.Service{}, all, place.Demand{}, nil).ID]++
	}
	for _, e := range all {
		is.True(counts[e.ID] > 30)
	}
}

// TestCopyTarget guards against copies over a slow link between domains and to engines that have no room or are warming up.
func TestCopyTarget(t *testing.T) {
	is := is.New(t)
	all := endpointStatuses(4) // e0 and e3 in d0
	loads := tally.New()
	sel := place.New("d0", loads)
	source := all[0].Endpoint
	d := place.Demand{Tokens: 3500}
	is.Equal(sel.ChooseCopyTarget(now, service(), all, source, d, false, nil).ID, core.EndpointID("e3")) // same failure domain as the source
	is.True(sel.ChooseCopyTarget(now, service(), all, source, d, true, map[core.EndpointID]bool{"e3": true}).ID != "e3")
	for _, e := range all {
		loads.AddOwn(e.ID, tally.Load{Tokens: 18_000})
	}
	is.True(sel.ChooseCopyTarget(now, service(), all, source, d, false, nil) == nil)
	loads.AddOwn("e0", tally.Load{UncopiedTokens: 18_000}) // more than the source can move during a shutdown notice
	is.True(sel.ChooseCopyTarget(now, service(), all, source, d, false, nil) != nil)
	all[3].WarmAt = now.Add(time.Second)
	is.True(sel.ChooseCopyTarget(now, service(), all, source, d, false, nil).ID != "e3")
}

// TestStaleRemoteLoad guards against a thundering herd between failure domains: in a large fleet, load reports from other
// domains arrive late, and the instances of a full domain must not all send their calls to the same remote engine
// (scenario: a surge in one failure domain).
func TestStaleRemoteLoad(t *testing.T) {
	is := is.New(t)
	const instances, engines = 36, 30
	var all []*fleet.Status
	for i := range engines {
		all = append(all, &fleet.Status{Endpoint: core.Endpoint{
			ID: core.EndpointID(fmt.Sprint("e", i)), Service: "lm", Domain: core.FailureDomain(fmt.Sprint("d", i%2)),
		}})
	}
	calls, most := map[core.EndpointID]int{}, 0
	for range instances {
		loads := tally.New()
		reported := map[core.EndpointID]tally.Load{}
		for j, e := range all {
			if e.Domain == "d0" {
				reported[e.ID] = tally.Load{Calls: 9, Tokens: 33_000}
			} else {
				reported[e.ID] = tally.Load{Calls: 1, Tokens: core.Tokens(3000 + 10*j)}
			}
		}
		loads.ReplacePeer(now, now.Add(time.Minute), "peer", reported)
		sel := place.New("d0", loads, place.WithInstances(func() int { return 126 }))
		e := sel.ChooseEndpoint(now, service(), all, longCall, nil)
		is.Equal(e.Domain, core.FailureDomain("d1")) // d0 is full
		calls[e.ID]++
		most = max(most, calls[e.ID])
	}
	is.True(most <= 12) // 2.4 if spread evenly; 36 without jitter
}

// TestPrefersOwnDomain guards against calls to another failure domain because of a small load difference in stale reports
// (scenario: a lightly loaded large fleet).
func TestPrefersOwnDomain(t *testing.T) {
	is := is.New(t)
	all := endpointStatuses(6)
	loads := tally.New()
	loads.ReplacePeer(now, now.Add(time.Minute), "peer", map[core.EndpointID]tally.Load{"e0": {Calls: 1, Tokens: 2500}, "e3": {Calls: 1, Tokens: 2500}})
	large := place.New("d0", loads, place.WithInstances(func() int { return 126 }))
	for range 50 {
		is.Equal(large.ChooseEndpoint(now, service(), all, longCall, nil).Domain, core.FailureDomain("d0"))
	}
	loads.ReplacePeer(now, now.Add(time.Minute), "peer", map[core.EndpointID]tally.Load{
		"e0": {Calls: 2, Tokens: 7000, PrefillTokens: 6000}, "e3": {Calls: 2, Tokens: 7000, PrefillTokens: 6000},
	})
	is.True(large.ChooseEndpoint(now, service(), all, longCall, nil).Domain != core.FailureDomain("d0")) // two pending prompts per engine in d0
}

// TestBackoffIsStrict guards against requests to an endpoint that wants none, also when all others are unreachable or full.
func TestBackoffIsStrict(t *testing.T) {
	is := is.New(t)
	sel := place.New("d0", tally.New())
	all := endpointStatuses(3)
	all[0].BackoffUntil = now.Add(2 * time.Second)
	all[1].UnreachableUntil, all[2].UnreachableUntil = now.Add(time.Second), now.Add(time.Second)
	for range 20 {
		is.True(sel.ChooseEndpoint(now, service(), all, longCall, nil) != all[0])
	}
	tried := map[core.EndpointID]bool{"e1": true, "e2": true}
	is.Equal(sel.ChooseEndpoint(now, service(), all, longCall, tried), nil)
	is.Equal(sel.ChooseCopyTarget(now, service(), all, core.Endpoint{ID: "e1"}, longCall, true, nil), nil)
	is.True(sel.AllFull(now, service(), all[:1], longCall))
	o := sel.Availability(now, service(), all, longCall)
	is.Equal([]int{o.Endpoints, o.BackingOff, o.Unreachable, o.WithRoom}, []int{3, 1, 2, 0})
	is.Equal(sel.ChooseEndpoint(now.Add(2*time.Second), service(), all[:1], longCall, nil), all[0]) // accepts requests again
}

// TestBackoffEnd guards against calls that wait, or callers that return, before an endpoint accepts requests, and against calls
// that wait although an endpoint would take them.
func TestBackoffEnd(t *testing.T) {
	is := is.New(t)
	all := endpointStatuses(4)
	first, second := now.Add(time.Second), now.Add(2*time.Second)
	all[0].BackoffUntil, all[1].BackoffUntil = second, first
	all[2].Leaving, all[3].UnreachableUntil = true, second
	is.Equal(place.BackoffEnd(now, all, nil), first)
	is.Equal(place.BackoffEnd(now, all, map[core.EndpointID]bool{"e1": true}), second)
	is.True(place.BackoffEnd(now.Add(1500*time.Millisecond), all, nil).IsZero()) // e1 accepts requests again
	is.True(place.BackoffEnd(now, all[2:], nil).IsZero())
}
