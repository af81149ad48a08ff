package place

import (
	"math/rand/v2"
	"time"

	"snipeshed/core"
	"snipeshed/core/fleet"
	"snipeshed/core/tally"
)

const (
	// readPerMs is the speed at which a busy engine reads prompts, in tokens per ms.
	readPerMs = 7
	// fullShare is the share of an engine's memory up to which short generations and those that leave another engine are
	// placed.
	fullShare = 0.95
	// longShare is the share up to which new long generations are placed: without the rest, generations could not leave
	// an engine that is taken away, and short ones would wait for long ones to end.
	longShare = 0.72
	// copyShare is the share of an engine's memory up to which copies of other engines' generations are placed.
	copyShare = 0.55
	// moveShare is the share up to which generations that leave another engine are placed; an engine that is fuller than
	// forecast refuses by itself.
	moveShare = 0.97
	// busyCopyShare is the same while the source has more than it can move.
	busyCopyShare = 0.75
	// movableSeconds is the time of a notice, in s, that is left for copies.
	movableSeconds = 0.8
	// crowdedShare is the forecast share of an engine's memory from which it may be full in fact.
	crowdedShare = 0.65
	// longBacklog is the number of unread prompt tokens above which an engine gets no further long generation.
	longBacklog = 9000
	// fullWaitMs ranks engines without room behind all others.
	fullWaitMs = 20_000
	// memoryWaitMs weighs a full engine's memory against the delay of prompts, so that generations spread.
	memoryWaitMs = 900
	warmupWaitMs = 400
	// failureWaitMs is the cost of an endpoint that fails every call, against one that fails as often as the others.
	failureWaitMs = 2000
	// priorOutcomes is the number of successful calls that an endpoint is credited with, so that one failure says little.
	priorOutcomes = 3
	// otherDomainMs prefers an endpoint of the own failure domain between equals.
	otherDomainMs = 2
	// farMs and farSpreadMs do so in a large fleet, in which an instance knows the load of other domains late: it goes
	// there only for a clear gain, and not to the same endpoint as the other instances of its domain.
	farMs       = 250
	farSpreadMs = 100
	// callWaitMs is the delay that one more call at a plain service adds, per slot.
	callWaitMs = 100
)

// Demand is what a call needs at an endpoint.
type Demand struct {
	Tokens core.Tokens // memory, by forecast; 0 for plain services
	Unread core.Tokens // prompt tokens
	// Long marks a new generation that holds its memory for long.
	Long bool
}

// limit is the share of an engine's memory that the call may fill.
func (d Demand) limit() float64 {
	if d.Long {
		return longShare
	}
	return fullShare
}

// Place chooses endpoints for the calls of one instance.
type Place struct {
	domain    core.FailureDomain
	tally     *tally.Tally
	draw      func() float64
	instances func() int
}

// Option changes how a Place is made.
type Option func(*Place)

// WithInstances gives the number of live instances; without it the fleet is taken to be small.
func WithInstances(n func() int) Option { return func(p *Place) { p.instances = n } }

// New returns a Place for an instance of a failure domain.
func New(domain core.FailureDomain, t *tally.Tally, opts ...Option) *Place {
	p := &Place{domain: domain, tally: t, draw: rand.Float64, instances: func() int { return 1 }}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Choose returns the endpoint where a call is expected to begin first, or nil; tried ones and those that leave are left out.
func (p *Place) Choose(now time.Time, s core.Service, all []*fleet.Status, d Demand, tried map[core.EndpointID]bool) *fleet.Status {
	failures := p.failures(now, all)
	large := p.instances() >= core.LargeFleet
	var best *fleet.Status
	var least float64
	for i, e := range all {
		if tried[e.ID] || e.Leaving {
			continue
		}
		if now.Before(e.Unreachable) && !allUnreachable(now, all) {
			continue
		}
		cost := p.cost(now, s, e, d) + failureWaitMs*failures[i] + p.draw()
		if e.Domain != p.domain {
			cost += p.farCost(large)
		}
		if best == nil || cost < least {
			best, least = e, cost
		}
	}
	return best
}

// allUnreachable reports whether none of the endpoints that stay is known to take connections.
func allUnreachable(now time.Time, all []*fleet.Status) bool {
	for _, e := range all {
		if !e.Leaving && !now.Before(e.Unreachable) {
			return false
		}
	}
	return true
}

// farCost is what it costs to go to another failure domain.
func (p *Place) farCost(large bool) float64 {
	if large {
		return farMs + farSpreadMs*p.draw()
	}
	return otherDomainMs
}

// cost is the expected delay of a call in ms, and what it costs the others.
func (p *Place) cost(now time.Time, s core.Service, e *fleet.Status, d Demand) float64 {
	u := p.tally.Of(now, e.ID)
	cost := 0.0
	if s.Engine == nil {
		return callWaitMs * float64(u.Calls) / float64(max(e.Slots, 1))
	}
	if now.Before(e.Warm) {
		cost += warmupWaitMs
	}
	share := float64(u.Tokens+d.Tokens) / float64(max(s.Engine.Capacity, 1))
	if !room(s, u, d) {
		cost += fullWaitMs * share
	}
	return cost + float64(u.Unread)/readPerMs + memoryWaitMs*share
}

// room reports whether an engine has memory and a slot for a call and, for a new long generation, reads its prompt soon.
func room(s core.Service, u tally.Use, d Demand) bool {
	if d.Long && u.Unread > longBacklog {
		return false
	}
	if u.Calls >= s.Engine.Slots {
		return false
	}
	if u.Calls == 0 && u.Tokens == 0 {
		return true // a call beyond the limit fits an empty engine at best
	}
	return float64(u.Tokens+d.Tokens) <= d.limit()*float64(s.Engine.Capacity)
}

// Reading returns how long an engine takes for the prompts that were sent to it and are not read yet, as far as is known.
func (p *Place) Reading(now time.Time, id core.EndpointID) time.Duration {
	return ReadTime(p.tally.Of(now, id).Unread)
}

// ReadTime returns how long a busy engine takes to read prompts of so many tokens.
func ReadTime(n core.Tokens) time.Duration { return time.Duration(n) * time.Millisecond / readPerMs }

// failures returns for each endpoint by how much it fails more often than the endpoints of its service on average.
func (p *Place) failures(now time.Time, all []*fleet.Status) []float64 {
	rates := make([]float64, len(all))
	failed, ended := 0, 0
	for i, e := range all {
		u := p.tally.Of(now, e.ID)
		rates[i] = float64(u.Failed) / float64(u.Ended+priorOutcomes)
		failed += u.Failed
		ended += u.Ended
	}
	mean := float64(failed) / float64(ended+priorOutcomes)
	for i := range rates {
		rates[i] = max(rates[i]-1.5*mean, 0)
	}
	return rates
}

// Copy returns the engine that shall keep a copy of a generation that runs at source, or nil when none has room.
//
// A copy for a generation that must leave its engine may fill the memory as far as a new call may; a copy for a case
// that may not come leaves room, unless the source could not move all its generations in the time that a notice leaves.
func (p *Place) Copy(now time.Time, s core.Service, all []*fleet.Status, source core.Endpoint, d Demand, leaving bool, refused map[core.EndpointID]bool) *fleet.Status {
	limit := p.copyLimit(now, s, source, d, leaving)
	var best *fleet.Status
	var least float64
	for _, e := range all {
		if e.Leaving || e.ID == source.ID || refused[e.ID] || now.Before(e.Warm) || now.Before(e.Unreachable) {
			continue
		}
		u := p.tally.Of(now, e.ID)
		share := float64(u.Tokens+d.Tokens) / float64(max(s.Engine.Capacity, 1))
		if share > limit || u.Calls >= s.Engine.Slots {
			continue
		}
		if e.Domain != source.Domain {
			share += 0.3 // copies between failure domains take twice as long
		}
		if best == nil || share < least {
			best, least = e, share
		}
	}
	return best
}

func (p *Place) copyLimit(now time.Time, s core.Service, source core.Endpoint, d Demand, leaving bool) float64 {
	if leaving {
		return moveShare
	}
	bare := p.tally.Of(now, source.ID).Bare + d.Tokens
	if float64(bare) > movableSeconds*s.Engine.TokensPerSecond() {
		return busyCopyShare
	}
	return copyShare
}

// Crowded reports whether a call may have to wait for memory at an engine, as far as is known.
func (p *Place) Crowded(now time.Time, s core.Service, e *fleet.Status, d Demand) bool {
	if s.Engine == nil || s.Engine.HoldTime <= 0 {
		return false
	}
	u := p.tally.Of(now, e.ID)
	return float64(u.Tokens+d.Tokens) > crowdedShare*float64(s.Engine.Capacity) || u.Calls+1 >= s.Engine.Slots
}

// Room reports whether an engine has room for a call, as far as is known.
func (p *Place) Room(now time.Time, s core.Service, e *fleet.Status, d Demand) bool {
	return s.Engine == nil || room(s, p.tally.Of(now, e.ID), d)
}

// Full reports whether no endpoint that stays has room for a call.
func (p *Place) Full(now time.Time, s core.Service, all []*fleet.Status, d Demand) bool {
	if s.Engine == nil {
		return false
	}
	for _, e := range all {
		if e.Leaving {
			continue
		}
		if room(s, p.tally.Of(now, e.ID), d) {
			return false
		}
	}
	return true
}
