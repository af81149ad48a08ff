package runner

import (
	"net/http"
	"time"

	"snipeshed/core"
	"snipeshed/stand/host"
)

// reports keeps the load reports of the recent past, so that the one shown is as old as the lag.
type reports struct {
	list []report
}

type report struct {
	at   time.Time
	load core.RunnerLoad
}

func (p *reports) add(now time.Time, lag time.Duration, l core.RunnerLoad) {
	p.list = append(p.list, report{now, l})
	p.prune(now, lag)
}

// prune drops reports that a later one, also older than the lag, replaces.
func (p *reports) prune(now time.Time, lag time.Duration) {
	i := 0
	for i+1 < len(p.list) && !p.list[i+1].at.After(now.Add(-lag)) {
		i++
	}
	p.list = p.list[i:]
}

// report returns the current load.
func (r *Runner) report() core.RunnerLoad {
	l := r.batch.Load()
	return core.RunnerLoad{
		KVUsed: l.KVUsed, KVCapacity: l.KVCapacity, Running: l.Running, Waiting: l.Waiting, Preemptions: l.Preemptions,
		Model: r.order.loaded(time.Now()), Version: r.order.Version, Adapters: r.order.Adapters, Role: r.order.Role, OrderNumber: r.order.Number,
	}
}

// getLoad answers with a report as old as the lag; only leaving is current.
func (r *Runner) getLoad(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	r.mu.Lock()
	r.reports.prune(now, r.set.loadLag)
	l := core.RunnerLoad{KVCapacity: r.batch.Config().KVCapacity}
	if len(r.reports.list) > 0 && !r.reports.list[0].at.After(now.Add(-r.set.loadLag)) {
		l = r.reports.list[0].load
	}
	l.Leaving = r.leaving
	r.mu.Unlock()
	host.Reply(w, http.StatusOK, l)
}
