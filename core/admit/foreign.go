package admit

import "snipeshed/core"

// applyReport updates the endpoint's description and estimates from a new load report how many calls other owners run
// there: a former owner that is stopped as planned keeps its running streams until they end. Because reports lag, a
// report is compared with the largest number of own calls that ran at any time that it may describe.
func (e *endpoint) applyReport(info core.RunnerInfo) {
	fresh := !info.ReportedAt.IsZero() && !info.ReportedAt.Equal(e.info.ReportedAt)
	e.info = info
	if !fresh {
		return
	}
	e.sequenceLimit.update(info.Load)
	total := info.Load.Running + info.Load.Waiting
	e.foreignCalls = max(total-max(e.maxRunning, e.prevMaxRunning), 0)
	e.prevMaxRunning, e.maxRunning = e.maxRunning, len(e.running)
	e.foreignTokens = 0
	if e.foreignCalls > 0 {
		e.foreignTokens = info.Load.KVUsed * core.Tokens(e.foreignCalls) / core.Tokens(total)
	}
}

// adoptForeign removes one call from the count of other owners' calls because this owner has taken it over.
func (e *endpoint) adoptForeign() {
	if e.foreignCalls > 0 {
		e.foreignTokens -= e.foreignTokens / core.Tokens(e.foreignCalls)
		e.foreignCalls--
	}
}

// foreignGrowth is the factor by which the memory of other owners' calls is forecast to grow: on average a call is
// halfway to its end.
const foreignGrowth = 2
