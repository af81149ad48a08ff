package place

import (
	"time"

	"snipeshed/core"
	"snipeshed/core/fleet"
	"snipeshed/core/speed"
	"snipeshed/core/tally"
)

const (
	// passOverMs is the cost of a slow endpoint without an engine in the choices that pass it over. It is the cost of slots that are
	// all in use: beyond that a slow endpoint is better than the others.
	passOverMs = callCostMs
	// probeInterval is the time without a call after which a slow endpoint gets the next one, so that its recovery is noticed.
	probeInterval = 1600 * time.Millisecond
	// probeGainMs ranks an endpoint before others that are alike when such a call is due. It stays below the cost of another
	// failure domain.
	probeGainMs = 200
	// outcomeSpan is the mean time over which the outcomes in a load are counted.
	outcomeSpan = 3 * time.Second
	// maxLearnedCostMs and maxLearnedGainMs bound the learned cost. It stays below the costs of missing room and of failures.
	maxLearnedCostMs = 1000
	maxLearnedGainMs = 200
	// largeFleetLearnedCostMs and largeFleetLearnedGainMs replace them in a large fleet. Their sum is below the cost of another failure
	// domain there.
	largeFleetLearnedCostMs = 200
	largeFleetLearnedGainMs = 40
)

// estimate is what is known of an endpoint.
type estimate struct {
	load   tally.Load
	slots  int
	speed  float64 // multiple of that of the service's other endpoints
	useful float64 // number of calls at once from which it only gets slower
	due    bool    // it is slow and has had no call lately
}

// WithLearnedSpeed makes the speed and the useful concurrency of endpoints count, which are learned from the loads.
func WithLearnedSpeed() Option { return func(sel *Selector) { sel.learnsSpeed = true } }

// LearnsSpeed reports whether the speed of endpoints counts.
func (sel *Selector) LearnsSpeed() bool { return sel.learnsSpeed }

// Learned returns the learned speed of an endpoint, as a multiple of that of the service's other endpoints, and its useful concurrency.
func (sel *Selector) Learned(now time.Time, s core.Service, all []*fleet.Status, id core.EndpointID) (speed, useful float64) {
	for i, est := range sel.estimates(now, s, all) {
		if all[i].ID == id {
			return est.speed, est.useful
		}
	}
	return 1, 0
}

// Slots returns the number of calls that an endpoint of a service may run at once.
func Slots(s core.Service, e core.Endpoint) int {
	if s.Engine != nil {
		return s.Engine.Slots
	}
	return max(e.Slots, 1)
}

// estimates returns the estimate of each endpoint of a service, or nil if none are learned.
func (sel *Selector) estimates(now time.Time, s core.Service, all []*fleet.Status) []estimate {
	if !sel.learnsSpeed {
		return nil
	}
	out, loads, slots := make([]estimate, len(all)), make([]tally.Load, len(all)), make([]int, len(all))
	for i, e := range all {
		loads[i], slots[i] = sel.loads.Load(now, e.ID), Slots(s, e.Endpoint)
	}
	table := speed.New(loads, slots)
	silence := probeSilence(loads)
	for i, e := range all {
		out[i] = estimate{load: loads[i], slots: slots[i], speed: table.Speed(i), useful: table.Useful(i)}
		isIdle := loads[i].PrefillTokens == 0 // a call behind another prompt would be late
		out[i].due = out[i].speed < 1 && isIdle && now.Sub(sel.loads.LastCall(e.ID)) >= silence
	}
	return out
}

// probeSilence returns the time without a call after which a slow endpoint is due for one. Such calls are at most an equal share of the
// service's calls.
func probeSilence(loads []tally.Load) time.Duration {
	ended := 0
	for _, load := range loads {
		ended += load.Ended
	}
	equalShare := outcomeSpan * time.Duration(len(loads)) / time.Duration(max(ended, 1))
	return max(probeInterval, equalShare)
}

// learnedCost returns the cost in ms by which an endpoint is worse than an average one. If mayProbe is set, a slow one that has had no
// call lately gets this one.
func (sel *Selector) learnedCost(s core.Service, d Demand, est estimate, mayProbe bool) float64 {
	if est.due && mayProbe {
		return -probeGainMs
	}
	cost := sel.slownessCost(s, d, est) + est.crowdingCost()
	if sel.instances() >= core.LargeFleetInstances {
		return min(max(cost, -largeFleetLearnedGainMs), largeFleetLearnedCostMs)
	}
	return min(max(cost, -maxLearnedGainMs), maxLearnedCostMs)
}

// slownessCost returns what the speed of an endpoint costs a call: at an engine the additional time for the prompts, at another endpoint
// passOverMs in the choices that pass it over. These are random: instances with the same estimates would all choose the endpoint that
// seems fastest, as calls there have no cost of their own before they are reported.
func (sel *Selector) slownessCost(s core.Service, d Demand, est estimate) float64 {
	switch {
	case s.Engine != nil:
		return float64(est.load.PrefillTokens+d.PrefillTokens) / prefillTokensPerMs * (1/est.speed - 1)
	case est.speed < 1 && sel.randFloat() >= preference(est.speed):
		return passOverMs
	default:
		return 0
	}
}

// preference returns the probability that a choice does not pass over a slow endpoint. It is the cube of the speed, so that few
// callers get an answer that is late, and continuous, so that the distribution of calls does not oscillate.
func preference(speed float64) float64 { return speed * speed * speed }

// crowdingCost returns the additional cost of the calls at an endpoint whose useful concurrency is below its slots.
func (e estimate) crowdingCost() float64 {
	return callCostMs * float64(e.load.Calls) * (1/e.useful - 1/float64(max(e.slots, 1)))
}
