package admit

import (
	"time"

	"snipeshed/core"
)

// choice collects the candidates among the endpoints for one call.
type choice struct {
	*Admit
	call    *core.Call
	more    core.Tokens // expected output
	gap     time.Duration
	reserve int64

	// lowest has the lowest forecast of those where the call fits, best the longest cached prefix.
	lowest, best candidate
	bestMatch    int
	// unfit has the lowest load of those where the call does not fit.
	unfit candidate
	// least has the least delay of streams of those where the prompt delays some, slow that of those which compute no
	// other prompt.
	least, slow candidate
}

// candidate is an endpoint with its load, or with the delay in seconds of the streams there.
type candidate struct {
	*endpoint
	cost float64
}

// lower takes an endpoint that costs less than the present one.
func (c *candidate) lower(e *endpoint, cost float64) {
	if c.endpoint == nil || cost < c.cost {
		c.endpoint, c.cost = e, cost
	}
}

func (ch *choice) consider(e *endpoint) {
	prompt := e.uncached(ch.call)
	stall := e.stall(prompt)
	busy := e.prompts > 0 && ch.tooMuch(e, e.prompts+prompt)
	if ch.full(e, ch.gap, prompt) || e.crowded(ch.gap) || (busy && stall == 0) {
		ch.unfit.lower(e, 1+float64(e.held)/float64(e.info.KVCapacity))
		return
	}
	load, fits := ch.load(e)
	switch {
	case !fits:
		ch.unfit.lower(e, load)
	case stall > 0:
		ch.least.lower(e, stall.Seconds())
		if !busy {
			ch.slow.lower(e, stall.Seconds())
		}
	default:
		ch.lowest.lower(e, load)
		ch.match(e, load)
	}
}

// load returns the forecast part of an endpoint's memory and whether the call fits; it always fits where nothing runs.
func (ch *choice) load(e *endpoint) (load float64, fits bool) {
	peak, during := e.forecast(ch.call, ch.more)
	need := during
	if ch.reserve > 0 {
		need = peak
	}
	fits = need <= e.limit(ch.headroom-ch.reserve) || len(e.running)+e.foreign == 0
	return float64(peak) / float64(e.info.KVCapacity), fits
}

func (ch *choice) match(e *endpoint, load float64) {
	m := e.cached(ch.call)
	if m > ch.bestMatch || (ch.best.endpoint != nil && m == ch.bestMatch && load < ch.best.cost) {
		ch.best, ch.bestMatch = candidate{e, load}, m
	}
}

func (ch *choice) result(mayWait bool) (core.EndpointID, bool) {
	switch {
	case ch.lowest.endpoint == nil && ch.slow.endpoint != nil && (ch.slow.endpoint == ch.least.endpoint || !mayWait):
		return ch.slow.info.ID, true
	case ch.lowest.endpoint == nil && ch.least.endpoint != nil:
		return ch.least.info.ID, false
	case ch.lowest.endpoint == nil && ch.unfit.endpoint == nil:
		return "", false
	case ch.lowest.endpoint == nil:
		return ch.unfit.info.ID, false
	case ch.best.endpoint != nil && ch.best.cost <= ch.lowest.cost+float64(ch.slack)/percent:
		return ch.best.info.ID, true
	}
	return ch.lowest.info.ID, true
}
