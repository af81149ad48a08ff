package runner

import (
	"net/http"
	"time"

	"snipeshed/core"
	"snipeshed/stand/host"
)

// loadHistory keeps recent load reports, so that the runner can serve a report as old as the load lag.
type loadHistory struct {
	reports []loadReport
}

type loadReport struct {
	at   time.Time
	load core.RunnerLoad
}

func (p *loadHistory) add(now time.Time, lag time.Duration, l core.RunnerLoad) {
	p.reports = append(p.reports, loadReport{now, l})
	p.prune(now, lag)
}

// prune removes all reports older than the lag except the latest of them.
func (p *loadHistory) prune(now time.Time, lag time.Duration) {
	i := 0
	for i+1 < len(p.reports) && !p.reports[i+1].at.After(now.Add(-lag)) {
		i++
	}
	p.reports = p.reports[i:]
}

// currentLoad returns the load without a lag; it requires r.mu.
func (r *Runner) currentLoad() core.RunnerLoad {
	l := r.engine.Load()
	return core.RunnerLoad{
		KVUsed: l.KVUsed, KVCapacity: l.KVCapacity, Running: l.Running, Waiting: l.Waiting, Preemptions: l.Preemptions,
		Model: r.order.loadedModel(time.Now()), Version: r.order.Version, Adapters: r.order.Adapters, Role: r.order.Role, OrderNumber: r.order.Number,
	}
}

// handleLoad serves a load report as old as the load lag; only its leaving flag is current.
func (r *Runner) handleLoad(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	r.mu.Lock()
	r.loadHistory.prune(now, r.cfg.loadLag)
	l := core.RunnerLoad{KVCapacity: r.engine.Config().KVCapacity}
	if len(r.loadHistory.reports) > 0 && !r.loadHistory.reports[0].at.After(now.Add(-r.cfg.loadLag)) {
		l = r.loadHistory.reports[0].load
	}
	l.Leaving = r.leaving
	r.mu.Unlock()
	host.WriteJSON(w, http.StatusOK, l)
}
