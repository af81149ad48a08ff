package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// runner plays one runner, of an application service or of a model.
type runner struct {
	rec       *record
	site      site
	id        string
	service   string
	zone      string
	isModel   bool
	born      int64
	slots     int
	events    int           // of a stream
	eventStep time.Duration // between two events
	workTime  time.Duration // of a request to an application
	ln        net.Listener
	link      *link // in front of the runner
	pool      *pool // nil unless the case watches generations

	mu      sync.Mutex
	running int
	runs    []run
}

// run is a request that the runner has run.
type run struct {
	id string
	at time.Time
}

// unreadTimeout is the time after which a runner cuts off an answer that is not read.
const unreadTimeout = 5 * time.Second

func (w *world) addRunner(r *runner) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.rec, r.site, r.ln, r.born = w.record, w.site, ln, time.Now().UnixMilli()
	srv := &http.Server{Handler: http.HandlerFunc(r.serve), IdleTimeout: 15 * time.Second}
	go func() { _ = srv.Serve(ln) }() // ends with the process
	if r.link, err = newLink(ln.Addr().String()); err != nil {
		return err
	}
	w.runners = append(w.runners, r)
	w.store.put("servers", r.id, r.entry())
	return nil
}

// address is the one at which others reach the runner.
func (r *runner) address() string { return r.link.address() }

// entry is what the runner writes of itself to the store.
func (r *runner) entry() map[string]any {
	e := map[string]any{
		"service": r.service, "address": r.address(), "zone": r.zone, "version": "v1", "slots": r.slots, "state": "ready",
		"cold_left_ms": 0, "seq": 1, "born": r.born,
	}
	if r.isModel {
		e["stage"] = "both"
		e["models"] = []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
	}
	return e
}

// runsSince returns the requests that the runner began to run after a time.
func (r *runner) runsSince(t time.Time) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []run
	for _, x := range r.runs {
		if x.at.After(t) {
			out = append(out, x)
		}
	}
	return out
}

func (r *runner) runningNow() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running
}

func (r *runner) serve(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Snipeshed-Attempt-Id")
	w.Header().Set("Snipeshed-Instance-Id", r.id)
	if expect := req.Header.Get("Snipeshed-Expect-Instance"); expect != "" && expect != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch req.URL.Path {
	case "/health":
		return
	case "/report":
		r.serveReport(w)
		return
	case "/hold-take":
		r.serveHold(w)
		return
	case "/kv-move":
		if r.pool == nil {
			w.WriteHeader(http.StatusNotFound) // no such run: the case moves none
			return
		}
		r.serveMove(w, req)
		return
	}
	w.Header().Set("Snipeshed-Attempt-Id", id)
	body, err := io.ReadAll(req.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if id == "" || !r.begin(id) {
		w.Header().Set("Snipeshed-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.end(id)
	r.rec.log("%s (%s, %s) runs %s, %d bytes", r.id, r.service, r.zone, id, len(body))
	w.Header().Set("Snipeshed-Server-Seal", fmt.Sprintf("seal-%s-%s", r.id, id))
	if r.pool != nil {
		r.serveGeneration(w, req, id)
		return
	}
	if r.isModel {
		r.stream(w, req)
		return
	}
	time.Sleep(r.workTime)
	fmt.Fprintf(w, "answer of %s to %s", r.id, id)
}

func (r *runner) begin(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running >= r.slots {
		return false
	}
	r.running++
	r.runs = append(r.runs, run{id, time.Now()})
	return true
}

func (r *runner) end(id string) {
	r.mu.Lock()
	r.running--
	r.mu.Unlock()
	r.rec.log("%s ends %s", r.id, id)
}

func (r *runner) stream(w http.ResponseWriter, req *http.Request) {
	first := 1
	if last, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	data := strings.Repeat("a", r.site.eventBytes)
	for i := first; i <= r.events; i++ {
		select {
		case <-req.Context().Done():
			panic(http.ErrAbortHandler)
		case <-time.After(r.eventStep):
		}
		_ = rc.SetWriteDeadline(time.Now().Add(unreadTimeout)) // TCP connections support deadlines
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, data)
		if err := rc.Flush(); err != nil {
			r.rec.log("%s cuts off an answer that is not read", r.id)
			panic(http.ErrAbortHandler)
		}
	}
	_ = rc.SetWriteDeadline(time.Time{})
}

func (r *runner) serveReport(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	n := r.runningNow()
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "both", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "busy": false, "seq": 0,
		"queue_depth": 0, "in_flight": n, "kv_used": n * tokensPerRun, "kv_total": r.site.kvCapacity, "handles": 0, "state": "ready",
		"born": r.born, "runs": []any{}, "pinned": 0, "held": 0,
	})
}

// serveHold reserves a slot and memory if the runner has both.
func (r *runner) serveHold(w http.ResponseWriter) {
	if n := r.runningNow(); n >= r.slots || (n+1)*tokensPerRun > r.site.kvCapacity {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"hold":"h-%d"}`, time.Now().UnixNano())
}

// tokensPerRun is the most that a generation of the cases holds.
const tokensPerRun = 5000
