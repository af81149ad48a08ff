package runner

import (
	"context"
	"net/http"
	"time"

	"snipeshed/core"
	"snipeshed/stand/host"
)

// Scope says what a freeze stops.
type Scope string

// Scopes of a freeze.
const (
	// ScopeEngine stops the engine; calls are still answered.
	ScopeEngine Scope = "engine"
	// ScopeStreams stops writing to the open streams, while the engine and new calls go on.
	ScopeStreams Scope = "streams"
	// ScopeAll stops everything but the admin calls, as a paused process.
	ScopeAll Scope = "all"
)

type freeze struct {
	opened int64 // streams with a higher number are not stopped by ScopeStreams
	ended  chan struct{}
}

// Freeze stops a part of the runner until Thaw; connections stay open.
func (r *Runner) Freeze(s Scope) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.frozen[s] != nil {
		return
	}
	now := time.Now()
	if s != ScopeStreams && !r.engineFrozen() {
		r.step(now)
		r.stopped = now
	}
	r.frozen[s] = &freeze{opened: r.opened, ended: make(chan struct{})}
}

// Thaw ends a freeze; the engine goes on where it stopped.
func (r *Runner) Thaw(s Scope) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.frozen[s]
	if f == nil {
		return
	}
	delete(r.frozen, s)
	close(f.ended)
	if s != ScopeStreams && !r.engineFrozen() {
		r.lost += time.Since(r.stopped)
	}
	r.poke()
}

func (r *Runner) engineFrozen() bool {
	return r.frozen[ScopeEngine] != nil || r.frozen[ScopeAll] != nil
}

// engineTime converts the time to that of the engine, which stands still during a freeze.
func (r *Runner) engineTime(now time.Time) time.Time {
	if r.engineFrozen() {
		now = r.stopped
	}
	return now.Add(-r.lost)
}

// waitThawed waits for the end of a freeze and reports whether ctx is still wanted; stream is a stream's number for ScopeStreams.
func (r *Runner) waitThawed(ctx context.Context, s Scope, stream int64) bool {
	r.mu.Lock()
	f := r.frozen[s]
	r.mu.Unlock()
	if f == nil || stream > f.opened {
		return true
	}
	select {
	case <-f.ended:
		return true
	case <-ctx.Done():
		return false
	}
}

// SetLeaving switches whether new generations are refused; running ones are finished.
func (r *Runner) SetLeaving(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = on
}

// KillStreams cuts the connections of all open streams; the generations go on.
func (r *Runner) KillStreams() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.killAll()
	r.kill, r.killAll = context.WithCancel(context.Background())
}

// Reset forgets all generations and cuts their streams, as a restart of the engine.
func (r *Runner) Reset() {
	r.KillStreams()
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.gens {
		r.batch.Cancel(id)
		delete(r.gens, id)
	}
	r.ended = nil
}

// State returns exact and current counts.
func (r *Runner) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.state
	s.Load = r.batch.Load()
	s.Leaving = r.leaving
	s.Loading = time.Now().Before(r.order.ready)
	return s
}

// Starts returns how many generations were started for a request.
func (r *Runner) Starts(req core.RequestID) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.starts[req]
}

func (r *Runner) adminRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET /admin/state", func(w http.ResponseWriter, _ *http.Request) {
		host.Reply(w, http.StatusOK, r.State())
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
		if on, ok := host.Switch(w, hr); ok {
			r.SetLeaving(on)
			w.WriteHeader(http.StatusNoContent)
		}
	})
	mux.HandleFunc("POST /admin/freeze", func(w http.ResponseWriter, hr *http.Request) {
		s := Scope(hr.URL.Query().Get("scope"))
		if s != ScopeEngine && s != ScopeStreams && s != ScopeAll {
			host.Refuse(w, http.StatusBadRequest, "scope %q is none of engine, streams, all", s)
			return
		}
		on, ok := host.Switch(w, hr)
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
