package runner

import (
	"context"
	"net/http"
	"time"

	"snipeshed/core"
	"snipeshed/stand/host"
)

// Scope is the part of the runner that a freeze stops.
type Scope string

// Scopes of a freeze.
const (
	// ScopeEngine stops the engine, while HTTP requests are still answered.
	ScopeEngine Scope = "engine"
	// ScopeStreams stops writes to the streams that are open at the time, while the engine and new streams continue.
	ScopeStreams Scope = "streams"
	// ScopeAll stops everything except the admin endpoints, like a paused process.
	ScopeAll Scope = "all"
)

// activeFreeze is a freeze of one scope that Thaw has not ended yet.
type activeFreeze struct {
	lastStream int64         // stream opened last before the freeze; ScopeStreams does not stop later ones
	thawed     chan struct{} // closed by Thaw
}

// Freeze stops a part of the runner until Thaw. Connections stay open.
func (r *Runner) Freeze(s Scope) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.freezes[s] != nil {
		return
	}
	now := time.Now()
	if s != ScopeStreams && !r.engineFrozen() {
		r.stepEngine(now)
		r.frozenAt = now
	}
	r.freezes[s] = &activeFreeze{lastStream: r.lastStream, thawed: make(chan struct{})}
}

// Thaw ends a freeze. The engine continues where it stopped and does not make up for the lost time.
func (r *Runner) Thaw(s Scope) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.freezes[s]
	if f == nil {
		return
	}
	delete(r.freezes, s)
	close(f.thawed)
	if s != ScopeStreams && !r.engineFrozen() {
		r.frozenTotal += time.Since(r.frozenAt)
	}
	r.wakeEngine()
}

func (r *Runner) engineFrozen() bool {
	return r.freezes[ScopeEngine] != nil || r.freezes[ScopeAll] != nil
}

// engineTime converts wall time to the engine's clock, which stops during a freeze.
func (r *Runner) engineTime(now time.Time) time.Time {
	if r.engineFrozen() {
		now = r.frozenAt
	}
	return now.Add(-r.frozenTotal)
}

// waitThawed waits until scope s is not frozen and returns true, or false if ctx ends first. The stream number matters
// for ScopeStreams only; other callers pass 0.
func (r *Runner) waitThawed(ctx context.Context, s Scope, stream int64) bool {
	r.mu.Lock()
	f := r.freezes[s]
	r.mu.Unlock()
	if f == nil || stream > f.lastStream {
		return true
	}
	select {
	case <-f.thawed:
		return true
	case <-ctx.Done():
		return false
	}
}

// SetLeaving sets whether the runner is leaving. A leaving runner finishes running generations and by default refuses new
// ones.
func (r *Runner) SetLeaving(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = on
}

// KillStreams cuts the connections of all open streams; their generations continue.
func (r *Runner) KillStreams() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutStreams()
	r.streamsCtx, r.cutStreams = context.WithCancel(context.Background())
}

// LostGeneration is a generation that a reset has dropped.
type LostGeneration struct {
	RequestID core.RequestID
	// EndedAt is when the engine had generated the whole answer, which it still kept; zero if it was at work on it.
	EndedAt time.Time
}

// Reset cuts all streams, drops all generations, like a restart of the engine, and returns them.
func (r *Runner) Reset() []LostGeneration {
	r.KillStreams()
	r.mu.Lock()
	defer r.mu.Unlock()
	var lost []LostGeneration
	for id, g := range r.generations {
		l := LostGeneration{RequestID: g.requestID}
		if g.done {
			l.EndedAt = g.expiresAt.Add(-r.cfg.retention)
		}
		lost = append(lost, l)
		r.engine.Cancel(id)
		delete(r.generations, id)
	}
	r.ended = nil
	return lost
}

// State returns the current state and counters.
func (r *Runner) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.state
	s.Load = r.engine.Load()
	s.Leaving = r.leaving
	s.Loading = time.Now().Before(r.order.loadedAt)
	return s
}

// StartsOf returns how many generations were started for a request.
func (r *Runner) StartsOf(req core.RequestID) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.startsByRequest[req]
}

func (r *Runner) adminRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET /admin/state", func(w http.ResponseWriter, _ *http.Request) {
		host.WriteJSON(w, http.StatusOK, r.State())
	})
	mux.HandleFunc("POST /admin/kill_streams", func(w http.ResponseWriter, _ *http.Request) {
		r.KillStreams()
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST /admin/reset", func(w http.ResponseWriter, _ *http.Request) {
		r.Reset()
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST /admin/leaving", func(w http.ResponseWriter, hr *http.Request) {
		if on, ok := host.OnParam(w, hr); ok {
			r.SetLeaving(on)
			w.WriteHeader(http.StatusNoContent)
		}
	})
	mux.HandleFunc("POST /admin/freeze", func(w http.ResponseWriter, hr *http.Request) {
		s := Scope(hr.URL.Query().Get("scope"))
		if s != ScopeEngine && s != ScopeStreams && s != ScopeAll {
			host.WriteError(w, http.StatusBadRequest, "scope %q is not one of engine, streams, all", s)
			return
		}
		on, ok := host.OnParam(w, hr)
		switch {
		case !ok:
			return
		case on:
			r.Freeze(s)
		default:
			r.Thaw(s)
		}
		w.WriteHeader(http.StatusNoContent)
	})
}
