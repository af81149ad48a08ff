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

// AppServer is an HTTP server that simulates an application.
type AppServer struct {
	*host.Server
	cfg settings

	mu             sync.Mutex
	delay          time.Duration
	answersToLose  int
	refusing       bool
	highestFencing map[string]uint64 // highest fencing number by idempotency key
	counts         Counts
}

// Counts counts the calls since the start by result.
type Counts struct {
	// Runs is the number of runs by Idempotency-Key; calls without a key count under the empty key.
	Runs map[string]int64 `json:"runs"`
	// Total is the sum of Runs.
	Total int64 `json:"total"`
	// MaxRuns is the highest number of runs of a nonempty key; more than 1 means that a call was executed twice.
	MaxRuns     int64 `json:"max_runs"`
	Refused     int64 `json:"refused"`
	StaleFence  int64 `json:"stale_fence"`
	LostAnswers int64 `json:"lost_answers"`
	// Open is the number of calls that were received completely and have not run yet.
	Open int64 `json:"open"`
}

// Answer is the body of a response; it identifies the call that it belongs to.
type Answer struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Key    string `json:"key"`
	// Run is the number of this run among those of the key, from 1.
	Run        int64  `json:"run"`
	BodySHA256 string `json:"body_sha256"`
}

// New returns an AppServer that is not yet started.
func New(opts ...Option) *AppServer {
	cfg := settings{checkFencing: true}
	for _, o := range opts {
		o(&cfg)
	}
	s := &AppServer{cfg: cfg, delay: cfg.delay, highestFencing: map[string]uint64{}, counts: Counts{Runs: map[string]int64{}}}
	mux := http.NewServeMux()
	s.adminRoutes(mux)
	// ServeMux.ServeHTTP would redirect paths such as /a//b to their clean form; an application must get them unchanged.
	s.Server = host.New(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h, pattern := mux.Handler(r); pattern != "" {
			h.ServeHTTP(w, r)
			return
		}
		s.handleCall(w, r)
	}), cfg.hostOptions...)
	return s
}

// maxBodyBytes exceeds the largest body that a proxy accepts by default.
const maxBodyBytes = 64 << 20

// handleCall runs a call. Once the body has been received, the call runs even if the caller disconnects.
func (s *AppServer) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		host.WriteError(w, http.StatusBadRequest, "the body could not be read: %v", err)
		return
	}
	key := r.Header.Get("Idempotency-Key")
	if !s.admit(w, r, key) {
		return
	}
	s.mu.Lock()
	delay := s.delay
	s.counts.Open++
	s.mu.Unlock()
	delayElapsed := host.Sleep(s.Context(), delay)
	s.mu.Lock()
	s.counts.Open--
	if !delayElapsed {
		s.mu.Unlock()
		return
	}
	s.counts.Runs[key]++
	s.counts.Total++
	run := s.counts.Runs[key]
	if key != "" {
		s.counts.MaxRuns = max(s.counts.MaxRuns, run)
	}
	lost := s.answersToLose > 0
	if lost {
		s.answersToLose--
		s.counts.LostAnswers++
	}
	s.mu.Unlock()
	if lost {
		host.AbortConnection()
	}
	sum := sha256.Sum256(body)
	host.WriteJSON(w, http.StatusOK, Answer{Method: r.Method, Path: r.URL.Path, Key: key, Run: run, BodySHA256: hex.EncodeToString(sum[:])})
}

// admit reports whether a call may run. If not, admit has already rejected it.
func (s *AppServer) admit(w http.ResponseWriter, r *http.Request, key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusing {
		s.counts.Refused++
		host.WriteError(w, http.StatusServiceUnavailable, "the application refuses calls; this one was not run")
		return false
	}
	header := r.Header.Get("Fencing-Number")
	if header == "" {
		return true
	}
	number, err := strconv.ParseUint(header, 10, 64)
	if err != nil {
		host.WriteError(w, http.StatusBadRequest, "Fencing-Number %q is not a number", header)
		return false
	}
	if s.cfg.checkFencing && number < s.highestFencing[key] {
		s.counts.StaleFence++
		host.WriteJSON(w, http.StatusConflict, map[string]uint64{"number": s.highestFencing[key]})
		return false
	}
	s.highestFencing[key] = max(s.highestFencing[key], number)
	return true
}
