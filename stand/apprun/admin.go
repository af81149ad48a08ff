package apprun

import (
	"maps"
	"net/http"
	"time"

	"snipeshed/stand/host"
)

// Slow sets the duration of each call; it takes effect at the end of it, also when its caller has given up.
func (s *Apprun) Slow(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// LoseAnswers cuts the connection after each of the next n runs.
func (s *Apprun) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.losses = n
}

// SetRefuse switches whether calls are answered with 503 without being run.
func (s *Apprun) SetRefuse(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuse = on
}

// Counts returns the calls so far.
func (s *Apprun) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	c.Runs = maps.Clone(c.Runs)
	return c
}

// Runs returns how often a key ran.
func (s *Apprun) Runs(key string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts.Runs[key]
}

func (s *Apprun) adminRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET /admin/counts", func(w http.ResponseWriter, _ *http.Request) {
		host.Reply(w, http.StatusOK, s.Counts())
	})
	mux.HandleFunc("POST /admin/refuse", func(w http.ResponseWriter, r *http.Request) {
		if on, ok := host.Switch(w, r); ok {
			s.SetRefuse(on)
			w.WriteHeader(http.StatusNoContent)
		}
	})
	mux.HandleFunc("POST /admin/slow", func(w http.ResponseWriter, r *http.Request) {
		if ms, ok := host.Count(w, r, "ms"); ok {
			s.Slow(time.Duration(ms) * time.Millisecond)
			w.WriteHeader(http.StatusNoContent)
		}
	})
	mux.HandleFunc("POST /admin/lose_answers", func(w http.ResponseWriter, r *http.Request) {
		if n, ok := host.Count(w, r, "count"); ok {
			s.LoseAnswers(n)
			w.WriteHeader(http.StatusNoContent)
		}
	})
}
