package runner

import (
	"net/http"
	"slices"
	"time"

	"snipeshed/core"
	"snipeshed/stand/host"
)

// order is the state that the runner was told to have, and when its model is ready.
type order struct {
	core.RunnerOrder
	ready time.Time
}

// loaded returns the model that the runner serves, or none while it loads.
func (o *order) loaded(now time.Time) core.ModelName {
	if now.Before(o.ready) {
		return ""
	}
	return o.Model
}

const maxOrderBytes = 1 << 20

// postOrder takes the complete state; generations of the model before it go on to their end.
func (r *Runner) postOrder(w http.ResponseWriter, hr *http.Request) {
	var o core.RunnerOrder
	if !host.Decode(w, hr, maxOrderBytes, &o) {
		return
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.set.checkOrders && o.Number < r.order.Number {
		host.Reply(w, http.StatusConflict, map[string]core.TicketNumber{"number": r.order.Number})
		return
	}
	if o.Model != r.order.Model || o.Version != r.order.Version || !slices.Equal(o.Adapters, r.order.Adapters) {
		r.order.ready = now.Add(r.set.loadTime)
		time.AfterFunc(r.set.loadTime, r.poke)
	}
	r.order.RunnerOrder = o
	r.reports.add(now, r.set.loadLag, r.report())
	host.Reply(w, http.StatusOK, map[string]core.TicketNumber{"number": o.Number})
}
