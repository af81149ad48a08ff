package admit

import "snipeshed/core"

// report takes the endpoint's description and, from a new report, what other owners run there: a former owner that stops
// as planned keeps its running streams to their end. The report lags, so it is compared with the most calls that were
// running here at any time that it may describe.
func (e *endpoint) report(info core.RunnerInfo) {
	fresh := !info.Reported.IsZero() && !info.Reported.Equal(e.info.Reported)
	e.info = info
	if !fresh {
		return
	}
	e.sequences.report(info.Load)
	total := info.Load.Running + info.Load.Waiting
	e.foreign = max(total-max(e.most, e.mostBefore), 0)
	e.mostBefore, e.most = e.most, len(e.running)
	e.foreignHeld = 0
	if e.foreign > 0 {
		e.foreignHeld = info.Load.KVUsed * core.Tokens(e.foreign) / core.Tokens(total)
	}
}

// adopt takes one call from the other owners' ones, because it now is an own one.
func (e *endpoint) adopt() {
	if e.foreign > 0 {
		e.foreignHeld -= e.foreignHeld / core.Tokens(e.foreign)
		e.foreign--
	}
}

// foreignGrowth multiplies the memory of other owners' calls in the forecast: on average a call is halfway.
const foreignGrowth = 2
