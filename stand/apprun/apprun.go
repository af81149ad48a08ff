package apprun

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"snipeshed/stand/host"
)

// Apprun is an application runner that listens on HTTP.
type Apprun struct {
	*host.Host
	set settings

	mu      sync.Mutex
	delay   time.Duration
	losses  int
	refuse  bool
	fencing map[string]uint64 // highest number by key
	counts  Counts
}

// Counts are the calls so far.
type Counts struct {
	// Runs gives the number of runs by Idempotency-Key; calls without a key count under the empty key.
	Runs map[string]int64 `json:"runs"`
	// Total is the sum of Runs.
	Total int64 `json:"total"`
	// MaxRuns is the highest number of runs of one key that is not empty.
	MaxRuns     int64 `json:"max_runs"`
	Refused     int64 `json:"refused"`
	StaleFence  int64 `json:"stale_fence"`
	LostAnswers int64 `json:"lost_answers"`
	// Open is the number of calls that have arrived whole and not yet run.
	Open int64 `json:"open"`
}

// Answer is the body of an answer; it tells which call it belongs to.
type Answer struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Key    string `json:"key"`
	// Run is the number of this run among those of the key.
	Run        int64  `json:"run"`
	BodySHA256 string `json:"body_sha256"`
}

// New returns a Apprun that is not yet started.
func New(opts ...Option) *Apprun {
	set := settings{checkFencing: true}
	for _, o := range opts {
		o(&set)
	}
	s := &Apprun{set: set, delay: set.delay, fencing: map[string]uint64{}, counts: Counts{Runs: map[string]int64{}}}
	mux := http.NewServeMux()
	s.adminRoutes(mux)
	// The mux would redirect paths such as a//b, but an application takes them as they are.
	s.Host = host.New(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h, pattern := mux.Handler(r); pattern != "" {
			h.ServeHTTP(w, r)
			return
		}
		s.run(w, r)
	}), set.host...)
	return s
}

// maxBodyBytes exceeds what a proxy accepts by default.
const maxBodyBytes = 64 << 20

// run runs a call; once its body has arrived, it runs even when its caller gives up.
func (s *Apprun) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		host.Refuse(w, http.StatusBadRequest, "the body could not be read: %v", err)
		return
	}
	key := r.Header.Get("Idempotency-Key")
	if !s.accept(w, r, key) {
		return
	}
	s.mu.Lock()
	delay := s.delay
	s.counts.Open++
	s.mu.Unlock()
	awaited := host.Sleep(s.Context(), delay)
	s.mu.Lock()
	s.counts.Open--
	if !awaited {
		s.mu.Unlock()
		return
	}
	s.counts.Runs[key]++
	s.counts.Total++
	n := s.counts.Runs[key]
	if key != "" {
		s.counts.MaxRuns = max(s.counts.MaxRuns, n)
	}
	lost := s.losses > 0
	if lost {
		s.losses--
		s.counts.LostAnswers++
	}
	s.mu.Unlock()
	if lost {
		host.Cut()
	}
	sum := sha256.Sum256(body)
	host.Reply(w, http.StatusOK, Answer{Method: r.Method, Path: r.URL.Path, Key: key, Run: n, BodySHA256: hex.EncodeToString(sum[:])})
}

// accept reports whether a call may run; otherwise it has answered that it did not.
func (s *Apprun) accept(w http.ResponseWriter, r *http.Request, key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuse {
		s.counts.Refused++
		host.Refuse(w, http.StatusServiceUnavailable, "the application refuses calls; this one was not run")
		return false
	}
	text := r.Header.Get("Fencing-Number")
	if text == "" {
		return true
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		host.Refuse(w, http.StatusBadRequest, "Fencing-Number %q is not a number", text)
		return false
	}
	if s.set.checkFencing && number < s.fencing[key] {
		s.counts.StaleFence++
		host.Reply(w, http.StatusConflict, map[string]uint64{"number": s.fencing[key]})
		return false
	}
	s.fencing[key] = max(s.fencing[key], number)
	return true
}
