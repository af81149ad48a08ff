package admit

import (
	"time"

	"snipeshed/core"
)

// choice collects the candidate endpoints for one call.
type choice struct {
	*Controller
	call           *core.Call
	expectedOutput core.Tokens
	gapTarget      time.Duration
	reserve        int64

	// Of the endpoints where the call fits without delaying streams, leastLoaded has the lowest forecast and bestCached
	// the longest cached prefix.
	leastLoaded, bestCached candidate
	bestCachedBlocks        int
	// leastLoadedUnfit has the lowest load of the endpoints where the call does not fit.
	leastLoadedUnfit candidate
	// Of the endpoints where the prompt delays streams, leastStalled has the smallest delay, and leastStalledReady the
	// smallest delay among those that can compute the prompt at once.
	leastStalled, leastStalledReady candidate
}

// candidate is an endpoint with the cost of choosing it: its load, or the delay of its streams in seconds.
type candidate struct {
	*endpoint
	cost float64
}

// replaceIfCheaper replaces the candidate by an endpoint with a lower cost.
func (c *candidate) replaceIfCheaper(e *endpoint, cost float64) {
	if c.endpoint == nil || cost < c.cost {
		c.endpoint, c.cost = e, cost
	}
}

// consider makes an endpoint the candidate of its category if it is better than the present one.
func (ch *choice) consider(e *endpoint) {
	prompt := e.uncachedTokens(ch.call)
	stall := e.expectedStall(prompt)
	busy := e.pendingPrompts > 0 && ch.promptsExceedLimit(e, e.pendingPrompts+prompt)
	if ch.full(e, ch.gapTarget, prompt) || e.stepTooSlow(ch.gapTarget) || (busy && stall == 0) {
		ch.leastLoadedUnfit.replaceIfCheaper(e, 1+float64(e.heldTokens)/float64(e.info.KVCapacity))
		return
	}
	load, fits := ch.loadAndFit(e)
	switch {
	case !fits:
		ch.leastLoadedUnfit.replaceIfCheaper(e, load)
	case stall > 0:
		ch.leastStalled.replaceIfCheaper(e, stall.Seconds())
		if !busy {
			ch.leastStalledReady.replaceIfCheaper(e, stall.Seconds())
		}
	default:
		ch.leastLoaded.replaceIfCheaper(e, load)
		ch.considerCached(e, load)
	}
}

// loadAndFit returns the forecast as a fraction of the endpoint's memory and reports whether the call fits; it always
// fits where nothing runs.
func (ch *choice) loadAndFit(e *endpoint) (load float64, fits bool) {
	peak, peakDuringCall := e.forecast(ch.call, ch.expectedOutput)
	required := peakDuringCall
	if ch.reserve > 0 {
		required = peak
	}
	fits = required <= e.memoryShare(ch.headroomPercent-ch.reserve) || len(e.running)+e.foreignCalls == 0
	return float64(peak) / float64(e.info.KVCapacity), fits
}

// considerCached makes an endpoint the best cached one if it has a longer cached prefix, or an equal one and less load.
func (ch *choice) considerCached(e *endpoint, load float64) {
	blocks := e.cachedBlocks(ch.call)
	if blocks > ch.bestCachedBlocks || (ch.bestCached.endpoint != nil && blocks == ch.bestCachedBlocks && load < ch.bestCached.cost) {
		ch.bestCached, ch.bestCachedBlocks = candidate{e, load}, blocks
	}
}

// result returns the chosen endpoint and reports whether the call may start there now.
func (ch *choice) result(mayWait bool) (core.EndpointID, bool) {
	switch {
	case ch.leastLoaded.endpoint == nil && ch.leastStalledReady.endpoint != nil && (ch.leastStalledReady.endpoint == ch.leastStalled.endpoint || !mayWait):
		return ch.leastStalledReady.info.ID, true
	case ch.leastLoaded.endpoint == nil && ch.leastStalled.endpoint != nil:
		return ch.leastStalled.info.ID, false
	case ch.leastLoaded.endpoint == nil && ch.leastLoadedUnfit.endpoint == nil:
		return "", false
	case ch.leastLoaded.endpoint == nil:
		return ch.leastLoadedUnfit.info.ID, false
	case ch.bestCached.endpoint != nil && ch.bestCached.cost <= ch.leastLoaded.cost+float64(ch.slackPercent)/percent:
		return ch.bestCached.info.ID, true
	}
	return ch.leastLoaded.info.ID, true
}
