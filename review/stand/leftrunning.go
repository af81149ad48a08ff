package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	engineCount  = 6
	streamCount  = 12
	streamEvents = 233
	// eventTime is the time for an event of 4 tokens; a step takes 7 ms and more.
	eventTime = 35 * time.Millisecond
	promptLen = 3000
	// drainTime is drain_ms; leaveTime is a little longer, as the pages say.
	drainTime = 2 * time.Second
	leaveTime = drainTime + 700*time.Millisecond
	// overlapLimit is the time for which the runner before may go on.
	overlapLimit = 400 * time.Millisecond
	prefillTime  = 215 * time.Millisecond // 14 prompt tokens are read in a ms
)

// engineRunner is a model runner. It works on a request to its end although the channel has closed, unless it is told to stop by
// /kv-move with last.
type engineRunner struct {
	*engines
	id, address string
	born        time.Time

	mu       sync.Mutex
	draining bool
	ended    bool
	runs     map[string]*engineRun
	copies   map[string]int // events in each copy or backup, by attempt or handle
}

// engineRun is a run of a request at one runner.
type engineRun struct {
	begun, end time.Time // end is zero while it goes on
	events     int
	stop       chan struct{}
	stopOnce   sync.Once
}

// engines are all model runners, by address.
type engines struct {
	*bed
	mu        sync.Mutex
	byAddress map[string]*engineRunner
}

func (es *engines) at(address string) *engineRunner {
	es.mu.Lock()
	defer es.mu.Unlock()
	return es.byAddress[address]
}

func (es *engines) add(i int) (*engineRunner, error) {
	ln, err := listen()
	if err != nil {
		return nil, err
	}
	e := &engineRunner{
		engines: es, id: fmt.Sprintf("i-llm-%d", i), address: ln.Addr().String(), born: time.Now(), runs: map[string]*engineRun{},
		copies: map[string]int{},
	}
	es.mu.Lock()
	es.byAddress[e.address] = e
	es.mu.Unlock()
	go func() { _ = http.Serve(ln, e) }() // ends with the program
	e.register("ready")
	return e, nil
}

func (e *engineRunner) register(state string) {
	e.store.Put("servers", e.id, entry("llm-pool", e.address, state, 24, e.born))
}

// ServeHTTP serves the calls that the pages name.
func (e *engineRunner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("Snipeshed-Attempt-Id")
	if attempt != "" {
		w.Header().Set("Snipeshed-Attempt-Id", attempt)
	}
	e.mu.Lock()
	ended := e.ended
	e.mu.Unlock()
	expect := r.Header.Get("Snipeshed-Expect-Instance")
	switch {
	case ended:
		panic(http.ErrAbortHandler)
	case expect != "" && expect != e.id:
		w.Header().Set("Snipeshed-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	case r.URL.Path == "/report":
		e.report(w)
	case r.URL.Path == "/hold-take":
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.URL.Path == "/kv-move":
		e.move(w, r)
	case strings.HasPrefix(r.URL.Path, "/kv-handle/"):
		w.WriteHeader(http.StatusOK)
	default:
		e.generate(w, r, attempt)
	}
}

func (e *engineRunner) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := "ready"
	if e.draining {
		state = "draining"
	}
	_ = json.NewEncoder(w).Encode(map[string]any{ // fails only if the caller has left
		"stage": "both", "busy": false, "seq": 1, "queue_depth": 0, "in_flight": 0, "kv_used": 0, "kv_total": 34326, "handles": 0,
		"state": state, "born": e.born.UnixMilli(), "runs": []any{},
	})
}

// move copies a run to another runner; with last it stops the run.
func (e *engineRunner) move(w http.ResponseWriter, r *http.Request) {
	var in struct {
		ID   string `json:"id"`
		To   string `json:"to"`
		Last bool   `json:"last"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	run := e.runs[in.ID]
	e.mu.Unlock()
	to := e.at(in.To)
	if run == nil || to == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if in.Last {
		run.stopOnce.Do(func() { close(run.stop) })
	}
	time.Sleep(40 * time.Millisecond)
	e.mu.Lock()
	events := run.events
	e.mu.Unlock()
	to.keep("m-"+in.ID, events)
	e.logf("%s copies %s to %s, last %v, %d events", e.id, in.ID, to.id, in.Last, events)
	_ = json.NewEncoder(w).Encode(map[string]any{"handle": "m-" + in.ID, "created": events}) // as in report
}

func (e *engineRunner) keep(handle string, events int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.copies[handle] = events
}

// generate runs a request from its start, or from a copy.
func (e *engineRunner) generate(w http.ResponseWriter, r *http.Request, attempt string) {
	_, _ = io.Copy(io.Discard, r.Body) // the prompt is in the headers
	from := r.Header.Get("Kv-From")
	first := 1
	if from != "" {
		_, handle, _ := strings.Cut(from, "/")
		e.mu.Lock()
		_, ok := e.copies[handle]
		delete(e.copies, handle)
		e.mu.Unlock()
		if !ok {
			w.Header().Set("Snipeshed-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	run := &engineRun{begun: time.Now(), stop: make(chan struct{}), events: first - 1}
	e.mu.Lock()
	e.runs[attempt] = run
	e.mu.Unlock()
	e.logf("%s runs %s from event %d, Kv-From %q, Snipeshed-Kv-Backup %q", e.id, attempt, first, from, r.Header.Get("Snipeshed-Kv-Backup"))
	w.Header().Set("Snipeshed-Server-Seal", "seal-"+e.id)
	w.Header().Set("Content-Type", "text/event-stream")
	complete := e.run(w, run, attempt, first, from == "", e.at(r.Header.Get("Snipeshed-Kv-Backup")))
	e.mu.Lock()
	run.end = time.Now()
	e.mu.Unlock()
	e.logf("%s ends its run of %s after event %d", e.id, attempt, run.events)
	if !complete {
		panic(http.ErrAbortHandler)
	}
}

// run makes the events and reports whether it made all of them; a closed channel does not end it.
func (e *engineRunner) run(w http.ResponseWriter, run *engineRun, attempt string, first int, isNew bool, backup *engineRunner) bool {
	rc := http.NewResponseController(w)
	if isNew {
		time.Sleep(prefillTime)
	}
	for i := first; i <= streamEvents; i++ {
		select {
		case <-run.stop:
			return false
		case <-time.After(eventTime):
		}
		e.mu.Lock()
		ended := e.ended
		run.events = i
		e.mu.Unlock()
		if ended {
			return false
		}
		fmt.Fprintf(w, "id: %d\ndata: event %d of %s\n\n", i, i, attempt)
		_ = rc.Flush() // the run goes on although the channel has closed
		if backup != nil && i%8 == 0 {
			backup.keep(attempt, i)
		}
	}
	return true
}

// runAt returns the run of an attempt.
func (e *engineRunner) runAt(attempt string) (run engineRunTimes, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.runs[attempt]
	if r == nil {
		return engineRunTimes{}, false
	}
	return engineRunTimes{begun: r.begun, end: r.end}, true
}

// engineRunTimes are the times of a run; end is zero while it goes on.
type engineRunTimes struct{ begun, end time.Time }

// drain makes a runner leave as scale_in does.
func (e *engineRunner) drain() {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	e.register("draining")
	e.logf("%s is draining", e.id)
	time.Sleep(leaveTime)
	e.mu.Lock()
	e.ended = true
	e.mu.Unlock()
	e.store.Remove("servers", e.id)
	e.logf("%s has left", e.id)
}

// busiest returns the runner with the most runs.
func busiest(all []*engineRunner) *engineRunner {
	best, most := all[0], -1
	for _, e := range all {
		e.mu.Lock()
		n := len(e.runs)
		e.mu.Unlock()
		if n > most {
			best, most = e, n
		}
	}
	return best
}

// runLeftRunning drains one of six model runners while it generates streams that may run once.
func runLeftRunning(b *bed) (held bool, err error) {
	es := &engines{bed: b, byAddress: map[string]*engineRunner{}}
	var all []*engineRunner
	for i := range engineCount {
		e, err := es.add(i + 1)
		if err != nil {
			return false, err
		}
		all = append(all, e)
	}
	r := route("draft", "streaming", "llm-pool", 39000, 4000, 1)
	b.configure([]any{r}, []any{map[string]any{
		"name": "llm-pool", "health_path": "/health", "max_conns": 503, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": 24, "kv_capacity_tokens": 34326, "kv_token_bytes": 96256, "link_mbps": 14000.0, "moves": true, "backups": true, "stride": 4,
			"most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}},
		},
	}})
	if err := b.addInstances(3, 120); err != nil {
		return false, err
	}
	var g sync.WaitGroup
	failed := make([]error, streamCount)
	for i := range streamCount {
		g.Go(func() { failed[i] = b.readStream(b.instances[i%3], fmt.Sprintf("5d%02x", i)) })
		time.Sleep(100 * time.Millisecond)
	}
	if b.trouble {
		time.Sleep(500 * time.Millisecond)
		busiest(all).drain()
	}
	g.Wait()
	for i, err := range failed {
		if err != nil {
			b.logf("5d%02x was not read to its end: %v", i, err)
		}
	}
	return es.check(all), nil
}

// check compares the runs of each request at all runners.
func (es *engines) check(all []*engineRunner) bool {
	held := true
	for i := range streamCount {
		attempt := fmt.Sprintf("5d%02x", i)
		for _, before := range all {
			old, ok := before.runAt(attempt)
			if !ok {
				continue
			}
			for _, e := range all {
				next, ok := e.runAt(attempt)
				if !ok || e == before || !next.begun.After(old.begun) {
					continue
				}
				overlap := old.end.Sub(next.begun)
				if old.end.IsZero() {
					overlap = time.Since(next.begun)
				}
				es.logf("%s went on at %s while %s worked on it for %d ms more", attempt, e.id, before.id, overlap.Milliseconds())
				if overlap > overlapLimit {
					es.logf("%s: BROKEN", attempt)
					held = false
				}
			}
		}
	}
	return held
}

// readStream sends a request on a streaming route and reads its events.
func (b *bed) readStream(in *instance, attempt string) error {
	req, err := http.NewRequest(http.MethodPost, "http://"+in.front()+"/draft/"+attempt, strings.NewReader("prompt"))
	if err != nil {
		return err
	}
	req.Host = "a.example"
	for name, value := range map[string]string{
		"Snipeshed-Attempt-Id": attempt, "Snipeshed-Deadline-Ms": "39000", "Snipeshed-Model": "m",
		"Snipeshed-Token-Count": fmt.Sprintf("%d,%d", promptLen, streamEvents*4), "Snipeshed-Prompt-Prefix": "5c1e07a2:50," + attempt + ":2950",
	} {
		req.Header.Set(name, value)
	}
	b.logf("%s: sent to %s", attempt, in.name)
	c := &http.Client{Timeout: 40 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	events := 0
	sc := bufio.NewScanner(resp.Body)
	for sc.Scan() {
		if strings.HasPrefix(sc.Text(), "id: ") {
			events++
		}
	}
	b.logf("%s: status %d, %d events, error %v", attempt, resp.StatusCode, events, sc.Err())
	if sc.Err() != nil {
		return sc.Err()
	}
	if events != streamEvents {
		return fmt.Errorf("%d of %d events, status %d", events, streamEvents, resp.StatusCode)
	}
	return nil
}
