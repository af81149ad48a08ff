package runner

import (
	"net/http"
	"slices"
	"time"

	"snipeshed/core"
	"snipeshed/stand/host"
)

// acceptedOrder is the last accepted order, which sets the runner's complete target state, and the time at which its model is
// loaded.
type acceptedOrder struct {
	core.RunnerOrder
	loadedAt time.Time
}

// loadedModel returns the model that the runner serves, or an empty name while it loads one.
func (o *acceptedOrder) loadedModel(now time.Time) core.ModelName {
	if now.Before(o.loadedAt) {
		return ""
	}
	return o.Model
}

const maxOrderBytes = 1 << 20

// handleOrder replaces the runner's target state; running generations of the previous model continue to their end.
func (r *Runner) handleOrder(w http.ResponseWriter, hr *http.Request) {
	var o core.RunnerOrder
	if !host.DecodeJSON(w, hr, maxOrderBytes, &o) {
		return
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cfg.checkOrders && o.Number < r.order.Number {
		host.WriteJSON(w, http.StatusConflict, map[string]core.TicketNumber{"number": r.order.Number})
		return
	}
	if o.Model != r.order.Model || o.Version != r.order.Version || !slices.Equal(o.Adapters, r.order.Adapters) {
		r.order.loadedAt = now.Add(r.cfg.loadTime)
		time.AfterFunc(r.cfg.loadTime, r.wakeEngine)
	}
	r.order.RunnerOrder = o
	r.loadHistory.add(now, r.cfg.loadLag, r.currentLoad())
	host.WriteJSON(w, http.StatusOK, map[string]core.TicketNumber{"number": o.Number})
}
