package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pool is what the runners of a model share: the copies of generations' memory, by "address/handle".
type pool struct {
	mu     sync.Mutex
	copies map[string]int // number of events in the copy
	spans  []*span
}

// span is the time for which a runner worked on an attempt.
type span struct {
	runner, attempt string
	begun, ended    time.Time // ended is zero while the work goes on
	stop            chan struct{}
	stopped         bool
	events          int
}

func newPool() *pool { return &pool{copies: map[string]int{}} }

func (p *pool) putCopy(key string, events int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.copies[key] = events
}

// takeCopy removes a copy, which can be used once, and reports whether it existed.
func (p *pool) takeCopy(key string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.copies[key]
	delete(p.copies, key)
	return ok
}

func (p *pool) begin(r *runner, attempt string) *span {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := &span{runner: r.id, attempt: attempt, begun: time.Now(), stop: make(chan struct{})}
	p.spans = append(p.spans, s)
	return s
}

func (p *pool) end(s *span) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s.ended = time.Now()
}

// find returns the running work of a runner on an attempt, or nil.
func (p *pool) find(r *runner, attempt string) *span {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.spans {
		if s.runner == r.id && s.attempt == attempt && s.ended.IsZero() && !s.stopped {
			return s
		}
	}
	return nil
}

func (p *pool) halt(s *span) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !s.stopped {
		s.stopped = true
		close(s.stop)
	}
}

func (p *pool) setEvents(s *span, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s.events = n
}

func (p *pool) eventsOf(s *span) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return s.events
}

// overlaps returns, for each attempt, the longest time after from for which two runners worked on it at once.
func (p *pool) overlaps(from time.Time) map[string]time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]time.Duration{}
	for i, a := range p.spans {
		for _, b := range p.spans[:i] {
			if a.attempt != b.attempt || a.runner == b.runner {
				continue
			}
			begun := later(from, later(a.begun, b.begun))
			if d := earlier(a.endOrNow(), b.endOrNow()).Sub(begun); d > 0 {
				out[a.attempt] = max(out[a.attempt], d)
			}
		}
	}
	return out
}

func (s *span) endOrNow() time.Time {
	if s.ended.IsZero() {
		return time.Now()
	}
	return s.ended
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// serveGeneration runs a stream. Like some runners, it goes on when its channel closes, until it is told to stop.
func (r *runner) serveGeneration(w http.ResponseWriter, req *http.Request, attempt string) {
	first := 1
	if from := req.Header.Get("Kv-From"); from != "" {
		if !r.pool.takeCopy(from) {
			w.Header().Del("Snipeshed-Server-Seal")
			w.Header().Set("Snipeshed-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	if last, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	s := r.pool.begin(r, attempt)
	defer r.pool.end(s)
	backup := req.Header.Get("Snipeshed-Kv-Backup")
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	data := strings.Repeat("a", r.site.eventBytes)
	connected := true
	for i := first; i <= r.events; i++ {
		select {
		case <-s.stop:
			r.rec.log("%s was told to stop %s", r.id, attempt)
			panic(http.ErrAbortHandler)
		case <-time.After(r.eventStep):
		}
		r.pool.setEvents(s, i)
		if backup != "" && r.link.isWhole() {
			r.pool.putCopy(backup+"/"+attempt, i)
		}
		if !connected {
			continue
		}
		_ = rc.SetWriteDeadline(time.Now().Add(unreadTimeout)) // TCP connections support deadlines
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, data)
		if rc.Flush() != nil || req.Context().Err() != nil {
			connected = false
			r.rec.log("the channel of %s at %s is closed; the runner works on", attempt, r.id)
		}
	}
}

// serveMove copies a run's memory to another runner, or stops the run first.
func (r *runner) serveMove(w http.ResponseWriter, req *http.Request) {
	var in struct {
		ID   string `json:"id"`
		To   string `json:"to"`
		Last bool   `json:"last"`
	}
	if json.NewDecoder(req.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s := r.pool.find(r, in.ID)
	r.rec.log("%s is asked to move %s, last %v, running %v", r.id, in.ID, in.Last, s != nil)
	if s == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if in.Last {
		r.pool.halt(s)
	}
	handle := "m-" + in.ID
	r.pool.putCopy(r.link.address()+"/"+handle, r.pool.eventsOf(s))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"handle": handle, "created": r.pool.eventsOf(s)})
}
