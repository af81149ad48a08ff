package plat

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func (e *Engine) serve(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("Snipeshed-Attempt-Id")
	w.Header().Set("Snipeshed-Attempt-Id", attempt)
	e.recordRequest(w, r)
	if expect := r.Header.Get("Snipeshed-Expect-Instance"); expect != "" && expect != e.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/report" && e.ReportHandler != nil:
		e.ReportHandler(w, r)
	case r.URL.Path == "/report":
		e.serveReport(w)
	case r.URL.Path == "/hold-take":
		e.serveReservation(w)
	case r.URL.Path == "/kv-move" && e.MoveHandler != nil:
		e.MoveHandler(w, r)
	case r.URL.Path == "/kv-move":
		e.serveMove(w, r)
	case strings.HasPrefix(r.URL.Path, "/kv-handle/"): // deletes a copy; only acknowledged, with status 200
	case strings.HasSuffix(r.URL.Path, "/stream"):
		e.serveStream(w, r, attempt)
	default:
		e.serveCall(w, r, attempt)
	}
}

// recordRequest records the arrival of a request and sets the headers of its answer that SetAnswerHeader has set.
func (e *Engine) recordRequest(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	maps.Copy(w.Header(), e.answerHeader)
	if r.URL.Path != "/report" && !strings.HasPrefix(r.URL.Path, "/kv-") {
		e.requestTimes = append(e.requestTimes, time.Now())
	}
}

func (e *Engine) serveReport(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := "ready"
	if e.leaving {
		state = "draining"
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"state": state, "born": 1, "kv_used": 0, "kv_total": 1000})
}

func (e *Engine) serveReservation(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.noRoom {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"hold": "h1"})
}

// setSeal sets the header with the answer's digest; here its value only identifies the engine.
func (e *Engine) setSeal(w http.ResponseWriter) {
	w.Header().Set("Snipeshed-Server-Seal", "seal-"+e.ID)
}

func (e *Engine) recordStart(r *http.Request, attempt string) {
	body, _ := io.ReadAll(r.Body) // an incomplete body is stored as received
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts[attempt]++
	e.headers[attempt], e.bodies[attempt] = r.Header.Clone(), string(body)
}

func (e *Engine) serveCall(w http.ResponseWriter, r *http.Request, attempt string) {
	e.recordStart(r, attempt)
	e.setSeal(w)
	if e.CallHandler != nil {
		e.CallHandler(w, r)
		return
	}
	fmt.Fprintf(w, "answer of %s to %s", e.ID, r.URL.RequestURI())
}

// serveStream starts a generation, or continues one from a copy of its memory on this engine.
func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request, attempt string) {
	if e.StreamHandler != nil {
		e.recordStart(r, attempt)
		e.setSeal(w)
		e.StreamHandler(w, r)
		return
	}
	first := 1
	if from := r.Header.Get("Kv-From"); from != "" {
		if !e.takeCopy(from, attempt) {
			w.Header().Set("Snipeshed-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	} else {
		e.recordStart(r, attempt)
	}
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	stop := make(chan struct{})
	var once sync.Once
	e.mu.Lock()
	e.stopFuncs[attempt] = func() { once.Do(func() { close(stop) }) }
	e.eventCounts[attempt] = first - 1
	e.mu.Unlock()
	e.setSeal(w)
	w.Header().Set("Content-Type", "text/event-stream")
	if e.Unframed {
		w.Header().Set("Transfer-Encoding", "identity")
	}
	if e.CrashPart != "" && strings.Contains(r.Header.Get("Snipeshed-Prompt-Prefix"), e.CrashPart+":") {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush() // the head arrives before the crash
		e.crash()
		panic(http.ErrAbortHandler)
	}
	e.generate(w, r, attempt, first, stop)
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request, attempt string, first int, stop <-chan struct{}) {
	backup := r.Header.Get("Snipeshed-Kv-Backup")
	rc := http.NewResponseController(w)
	defer e.recordRun(attempt)()
	e.mu.Lock()
	headDelay := e.headDelay
	e.mu.Unlock()
	select {
	case <-stop:
		panic(http.ErrAbortHandler)
	case <-time.After(headDelay):
	}
	for i := first; i <= e.Events; i++ {
		select {
		case <-stop:
			panic(http.ErrAbortHandler)
		case <-e.callerGone(r, attempt):
			return
		case <-time.After(e.Interval):
		}
		if e.isPaused() {
			i--
			continue
		}
		fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", i, i)
		_ = rc.Flush() // a closed connection shows in the request's context
		e.mu.Lock()
		e.eventCounts[attempt] = i
		e.mu.Unlock()
		if target, ok := enginesByAddress.Load(backup); ok {
			target.(*Engine).storeCopy(attempt, i)
		}
	}
}

// recordRun records the start of a generation and returns a function that records its end.
func (e *Engine) recordRun(attempt string) func() {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := len(e.runs[attempt])
	e.runs[attempt] = append(e.runs[attempt], Run{Begun: time.Now()})
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.stopFuncs, attempt)
		e.runs[attempt][n].Ended = time.Now()
	}
}

func (e *Engine) isPaused() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.paused
}

// callerGone returns a closed channel when the caller has disconnected and the generation must end, and nil otherwise.
func (e *Engine) callerGone(r *http.Request, attempt string) <-chan struct{} {
	if r.Context().Err() == nil {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.disconnected[attempt] = true
	if e.keepGenerating {
		return nil
	}
	return r.Context().Done()
}

// storeCopy stores a copy of a generation's memory, represented by its number of events.
func (e *Engine) storeCopy(handle string, events int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.copies[handle] = events
}

// takeCopy removes the copy that a Kv-From header names and reports whether it existed.
func (e *Engine) takeCopy(from, attempt string) bool {
	_, handle, _ := strings.Cut(from, "/")
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.copies[handle]; !ok {
		return false
	}
	delete(e.copies, handle)
	e.headers[attempt] = nil
	return true
}

func (e *Engine) serveMove(w http.ResponseWriter, r *http.Request) {
	var move struct {
		ID   string `json:"id"`
		To   string `json:"to"`
		Last bool   `json:"last"`
	}
	if err := json.NewDecoder(r.Body).Decode(&move); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if e.BeforeMove != nil {
		e.BeforeMove()
	}
	if e.MoveFilter != nil && !e.MoveFilter(w, move.Last) {
		return
	}
	e.mu.Lock()
	stop, eventCount := e.stopFuncs[move.ID], e.eventCounts[move.ID]
	e.mu.Unlock()
	target, ok := enginesByAddress.Load(move.To)
	switch {
	case stop == nil:
		w.WriteHeader(http.StatusNotFound)
		return
	case !ok || target.(*Engine).hasNoRoom():
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case move.Last:
		stop()
	}
	handle := "m" + move.ID
	target.(*Engine).storeCopy(handle, eventCount)
	_ = json.NewEncoder(w).Encode(map[string]any{"handle": handle, "created": eventCount})
}

func (e *Engine) hasNoRoom() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.noRoom
}
