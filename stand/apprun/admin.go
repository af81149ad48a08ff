package apprun

import (
	"maps"
	"net/http"
	"time"

	"snipeshed/stand/host"
)

// SetDelay sets the delay of each call. A call runs at the end of the delay, even if the caller has disconnected by then.
func (s *AppServer) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// LoseAnswers makes the server cut the connection instead of answering the next n calls that run.
func (s *AppServer) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answersToLose = n
}

// SetRefusing sets whether calls are rejected with 503 and not run.
func (s *AppServer) SetRefusing(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusing = on
}

// Counts returns the counts so far.
func (s *AppServer) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	c.Runs = maps.Clone(c.Runs)
	return c
}

// Runs returns how often calls with an idempotency key ran.
func (s *AppServer) Runs(key string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts.Runs[key]
}

func (s *AppServer) adminRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET /admin/counts", func(w http.ResponseWriter, _ *http.Request) {
		host.WriteJSON(w, http.StatusOK, s.Counts())
	})
	mux.HandleFunc("POST /admin/refuse", func(w http.ResponseWriter, r *http.Request) {
		if on, ok := host.OnParam(w, r); ok {
			s.SetRefusing(on)
			w.WriteHeader(http.StatusNoContent)
		}
	})
	mux.HandleFunc("POST /admin/slow", func(w http.ResponseWriter, r *http.Request) {
		if ms, ok := host.CountParam(w, r, "ms"); ok {
			s.SetDelay(time.Duration(ms) * time.Millisecond)
			w.WriteHeader(http.StatusNoContent)
		}
	})
	mux.HandleFunc("POST /admin/lose_answers", func(w http.ResponseWriter, r *http.Request) {
		if n, ok := host.CountParam(w, r, "count"); ok {
			s.LoseAnswers(n)
			w.WriteHeader(http.StatusNoContent)
		}
	})
}
