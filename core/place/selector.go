package place

import (
	"math/rand/v2"
	"time"

	"snipeshed/core"
	"snipeshed/core/fleet"
	"snipeshed/core/tally"
)

const (
	// prefillTokensPerMs is the speed in tokens per ms at which a busy engine processes prompts (prefill).
	prefillTokensPerMs = 7
	// maxShortShare is the share of an engine's memory up to which new short generations are placed, and generations that
	// continue after leaving another engine.
	maxShortShare = 0.95
	// maxLongShare is the share up to which new long generations are placed. Without the reserve, generations could not
	// move off an engine that shuts down, and short ones would wait for long ones to end.
	maxLongShare = 0.72
	// maxCopyShare is the share up to which an engine receives backup copies of generations of other engines.
	maxCopyShare = 0.55
	// maxMoveShare is the share up to which an engine receives copies of generations that must leave another engine; an
	// engine that is fuller than forecast rejects the copy.
	maxMoveShare = 0.97
	// maxBusySourceCopyShare replaces maxCopyShare while the source has more tokens than it can move before it shuts down.
	maxBusySourceCopyShare = 0.75
	// moveTimeSeconds is the part of the shutdown notice period, in s, that remains for copying generations.
	moveTimeSeconds = 0.8
	// mayBeFullShare is the forecast share of an engine's memory above which its actual memory may be full.
	mayBeFullShare = 0.65
	// maxBacklogShare is the share of the latency objective that the prefill backlog of an engine may take; above it the engine
	// gets no new long generation.
	maxBacklogShare = 0.32
	// defaultMaxBacklog replaces it for a call without an objective.
	defaultMaxBacklog = 1300 * time.Millisecond
	// noRoomCostMs ranks engines without room after all others.
	noRoomCostMs = 20_000
	// memoryCostMs is the cost of a full engine's memory relative to prefill delay; it spreads generations over engines.
	memoryCostMs = 900
	// warmupCostMs is the extra cost of an engine that is still warming up.
	warmupCostMs = 400
	// failureCostMs is the cost at an excess failure rate of 1 (see excessFailureRates).
	failureCostMs = 2000
	// priorSuccesses is a number of assumed successful calls per endpoint; it damps the effect of a single failure.
	priorSuccesses = 3
	// otherDomainCostMs breaks ties in favor of endpoints in the instance's own failure domain.
	otherDomainCostMs = 2
	// largeFleetDomainCostMs and largeFleetDomainJitterMs replace otherDomainCostMs in a large fleet, where load reports
	// from other domains arrive late: a call goes there only for a clear gain, and the jitter keeps the instances of one
	// domain from all choosing the same endpoint.
	largeFleetDomainCostMs   = 250
	largeFleetDomainJitterMs = 100
	// jitterPerEngineMs is the random part of an engine's cost in a large fleet, for each engine of the instance's own failure
	// domain. Dozens of instances choose by the same reports, and several calls begin before the next ones arrive; by cost alone
	// they would all go to the same engine. It stays below maxJitterMs.
	jitterPerEngineMs = 20
	maxJitterMs       = 400
	// tieBreakMs is the random part of the cost of all other endpoints.
	tieBreakMs = 1
	// callCostMs is the cost per slot of each call in progress at an endpoint of a service without an engine.
	callCostMs = 100
)

// Demand is the capacity that a call needs at an endpoint.
type Demand struct {
	Tokens        core.Tokens // forecast of the memory use; 0 for services without an engine
	PrefillTokens core.Tokens // prompt tokens that need prefill
	// Long reports whether this is a new generation that is expected to hold its memory for a long time.
	Long bool
	// Objective is the time within which the first event is due; 0 if there is none.
	Objective time.Duration
}

// maxBacklog returns the prefill backlog above which an engine does not get the call.
func (d Demand) maxBacklog() time.Duration {
	if d.Objective <= 0 {
		return defaultMaxBacklog
	}
	return time.Duration(maxBacklogShare * float64(d.Objective))
}

// maxShare returns the share of an engine's memory up to which the call may be placed.
func (d Demand) maxShare() float64 {
	if d.Long {
		return maxLongShare
	}
	return maxShortShare
}

// Selector chooses endpoints for the calls of one instance.
type Selector struct {
	domain    core.FailureDomain
	loads     *tally.LoadTable
	randFloat func() float64
	instances func() int
	// learnsSpeed is set if the learned speed of endpoints counts.
	learnsSpeed bool
}

// Option configures a Selector.
type Option func(*Selector)

// WithInstances sets the function that returns the number of live instances; the default is 1, a small fleet.
func WithInstances(n func() int) Option { return func(sel *Selector) { sel.instances = n } }

// WithRandom sets the source of random numbers in [0, 1); the default is rand.Float64.
func WithRandom(f func() float64) Option { return func(sel *Selector) { sel.randFloat = f } }

// New returns a Selector for an instance in the failure domain.
func New(domain core.FailureDomain, loads *tally.LoadTable, opts ...Option) *Selector {
	sel := &Selector{domain: domain, loads: loads, randFloat: rand.Float64, instances: func() int { return 1 }}
	for _, o := range opts {
		o(sel)
	}
	return sel
}

// ChooseEndpoint returns the endpoint with the lowest expected delay for a call, or nil; it skips tried and leaving endpoints,
// and those that back off, even if all others are unreachable.
func (sel *Selector) ChooseEndpoint(now time.Time, s core.Service, all []*fleet.Status, d Demand, tried map[core.EndpointID]bool) *fleet.Status {
	failures := sel.excessFailureRates(now, all)
	estimates := sel.estimates(now, s, all)
	large := sel.instances() >= core.LargeFleetInstances
	jitter := sel.jitterMs(s, all, large)
	var best *fleet.Status
	var least float64
	for i, e := range all {
		if tried[e.ID] || e.Leaving || e.BacksOff(now) {
			continue
		}
		if now.Before(e.UnreachableUntil) && !allUnreachable(now, all) {
			continue
		}
		cost := sel.cost(now, s, e, d) + failureCostMs*failures[i] + jitter*sel.randFloat()
		if e.Domain != sel.domain {
			cost += sel.otherDomainCost(large)
		}
		if sel.learnsSpeed {
			cost += sel.learnedCost(s, d, estimates[i], len(tried) == 0)
		}
		if best == nil || cost < least {
			best, least = e, cost
		}
	}
	return best
}

// allUnreachable reports whether every endpoint that is not leaving and does not back off is marked as unreachable.
func allUnreachable(now time.Time, all []*fleet.Status) bool {
	for _, e := range all {
		if !e.Leaving && !e.BacksOff(now) && !now.Before(e.UnreachableUntil) {
			return false
		}
	}
	return true
}

// jitterMs returns the random part of the cost of each endpoint of a service.
func (sel *Selector) jitterMs(s core.Service, all []*fleet.Status, large bool) float64 {
	if !large || s.Engine == nil {
		return tieBreakMs
	}
	near := 0
	for _, e := range all {
		if e.Domain == sel.domain && !e.Leaving {
			near++
		}
	}
	return min(max(jitterPerEngineMs*float64(near), tieBreakMs), maxJitterMs)
}

// otherDomainCost returns the cost in ms of choosing an endpoint in another failure domain.
func (sel *Selector) otherDomainCost(large bool) float64 {
	if large {
		return largeFleetDomainCostMs + largeFleetDomainJitterMs*sel.randFloat()
	}
	return otherDomainCostMs
}

// cost returns the expected delay of a call in ms, plus a penalty for the memory that it takes from other calls.
func (sel *Selector) cost(now time.Time, s core.Service, e *fleet.Status, d Demand) float64 {
	load := sel.loads.Load(now, e.ID)
	cost := 0.0
	if s.Engine == nil {
		return callCostMs * float64(load.Calls) / float64(max(e.Slots, 1))
	}
	if now.Before(e.WarmAt) {
		cost += warmupCostMs
	}
	share := float64(load.Tokens+d.Tokens) / float64(max(s.Engine.Capacity, 1))
	if !hasRoom(s, load, d) {
		cost += noRoomCostMs * share
	}
	return cost + float64(load.PrefillTokens)/prefillTokensPerMs + memoryCostMs*share
}

// hasRoom reports whether an engine has free memory and a free slot for a call and, for a new long generation, a short
// prefill backlog.
func hasRoom(s core.Service, load tally.Load, d Demand) bool {
	if d.Long && PrefillTime(load.PrefillTokens) > d.maxBacklog() {
		return false
	}
	if load.Calls >= s.Engine.Slots {
		return false
	}
	if load.Calls == 0 && load.Tokens == 0 {
		return true // an idle engine is the only place for a call above the limit
	}
	return float64(load.Tokens+d.Tokens) <= d.maxShare()*float64(s.Engine.Capacity)
}

// PrefillDelay returns the estimated time until an engine has processed its pending prompts, according to the load
// reports.
func (sel *Selector) PrefillDelay(now time.Time, id core.EndpointID) time.Duration {
	return PrefillTime(sel.loads.Load(now, id).PrefillTokens)
}

// PrefillTime returns the time that a busy engine needs to process prompts of n tokens.
func PrefillTime(n core.Tokens) time.Duration {
	return time.Duration(n) * time.Millisecond / prefillTokensPerMs
}

// excessFailureRates returns, for each endpoint, its failure rate minus 1.5 times the service's mean, at least 0.
func (sel *Selector) excessFailureRates(now time.Time, all []*fleet.Status) []float64 {
	rates := make([]float64, len(all))
	failed, ended := 0, 0
	for i, e := range all {
		load := sel.loads.Load(now, e.ID)
		rates[i] = float64(load.Failed) / float64(load.Ended+priorSuccesses)
		failed += load.Failed
		ended += load.Ended
	}
	mean := float64(failed) / float64(ended+priorSuccesses)
	for i := range rates {
		rates[i] = max(rates[i]-1.5*mean, 0)
	}
	return rates
}

// ChooseCopyTarget returns the engine that should receive a copy of a generation that runs at source, or nil when none
// has room; leaving reports whether the generation must leave its engine, and refused holds engines that refused the copy.
//
// A copy of a generation that must leave its engine may fill the target up to maxMoveShare. A precautionary backup copy
// leaves more memory free, and less so if the source could not move all its generations within a shutdown notice.
func (sel *Selector) ChooseCopyTarget(now time.Time, s core.Service, all []*fleet.Status, source core.Endpoint, d Demand, leaving bool, refused map[core.EndpointID]bool) *fleet.Status {
	limit := sel.maxCopyShareFrom(now, s, source, d, leaving)
	var best *fleet.Status
	var least float64
	for _, e := range all {
		if e.Leaving || e.BacksOff(now) || e.ID == source.ID || refused[e.ID] || now.Before(e.WarmAt) || now.Before(e.UnreachableUntil) {
			continue
		}
		load := sel.loads.Load(now, e.ID)
		share := float64(load.Tokens+d.Tokens) / float64(max(s.Engine.Capacity, 1))
		if share > limit || load.Calls >= s.Engine.Slots {
			continue
		}
		if e.Domain != source.Domain {
			share += 0.3 // penalty: copying to another failure domain takes twice as long
		}
		if best == nil || share < least {
			best, least = e, share
		}
	}
	return best
}

// maxCopyShareFrom returns the share of its memory up to which an engine may receive copies of generations at source.
func (sel *Selector) maxCopyShareFrom(now time.Time, s core.Service, source core.Endpoint, d Demand, leaving bool) float64 {
	if leaving {
		return maxMoveShare
	}
	uncopied := sel.loads.Load(now, source.ID).UncopiedTokens + d.Tokens
	if float64(uncopied) > moveTimeSeconds*s.Engine.TokensPerSecond() {
		return maxBusySourceCopyShare
	}
	return maxCopyShare
}

// MayLackRoom reports whether a call may have to wait for memory at an engine, according to the load reports.
func (sel *Selector) MayLackRoom(now time.Time, s core.Service, e *fleet.Status, d Demand) bool {
	if s.Engine == nil || s.Engine.MaxReservation <= 0 {
		return false
	}
	load := sel.loads.Load(now, e.ID)
	return float64(load.Tokens+d.Tokens) > mayBeFullShare*float64(s.Engine.Capacity) || load.Calls+1 >= s.Engine.Slots
}

// HasRoom reports whether an engine has free memory and a free slot for a call, according to the load reports.
func (sel *Selector) HasRoom(now time.Time, s core.Service, e *fleet.Status, d Demand) bool {
	return s.Engine == nil || hasRoom(s, sel.loads.Load(now, e.ID), d)
}

// AllFull reports whether no endpoint that is not leaving and does not back off has room for a call.
func (sel *Selector) AllFull(now time.Time, s core.Service, all []*fleet.Status, d Demand) bool {
	if s.Engine == nil {
		return false
	}
	for _, e := range all {
		if e.Leaving || e.BacksOff(now) {
			continue
		}
		if hasRoom(s, sel.loads.Load(now, e.ID), d) {
			return false
		}
	}
	return true
}
