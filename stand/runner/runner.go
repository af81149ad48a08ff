package runner

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"snipeshed/core"
	"snipeshed/stand/batch"
	"snipeshed/stand/host"
)

// Runner is a model runner that listens on HTTP.
type Runner struct {
	*host.Host
	set settings

	mu      sync.Mutex
	batch   *batch.Batch
	gens    map[core.GenerationID]*generation
	ended   []*generation // in order of expiry
	wakeup  chan struct{}
	kill    context.Context // ended and replaced to cut all streams
	killAll context.CancelFunc
	leaving bool
	frozen  map[Scope]*freeze
	stopped time.Time     // when the engine was frozen
	lost    time.Duration // time that the engine spent frozen before
	opened  int64         // number of the last stream
	order   order
	reports reports
	events  cacheLog
	state   State
	starts  map[core.RequestID]int
	swaps   swaps
}

// State counts what a runner has done; it is exact and current.
type State struct {
	batch.Load
	Leaving bool `json:"leaving"`
	// Loading tells that the runner loads a model.
	Loading     bool  `json:"loading"`
	Started     int64 `json:"started"`
	Finished    int64 `json:"finished"`
	Canceled    int64 `json:"canceled"`
	Resumed     int64 `json:"resumed"`
	OpenStreams int64 `json:"open_streams"`
	// Duplicates counts generations whose request id had been generated before.
	Duplicates int64 `json:"duplicates"`
	// Refused counts new generations that were refused because the runner leaves.
	Refused int64 `json:"refused"`
}

// New returns a runner that is not yet started.
func New(opts ...Option) *Runner {
	set := defaults()
	for _, o := range opts {
		o(&set)
	}
	r := &Runner{
		set:    set,
		batch:  batch.New(set.scaled()),
		gens:   map[core.GenerationID]*generation{},
		wakeup: make(chan struct{}, 1),
		frozen: map[Scope]*freeze{},
		starts: map[core.RequestID]int{},
		order:  order{RunnerOrder: core.RunnerOrder{Model: set.model, Version: set.version, Role: set.role}},
		events: cacheLog{lag: set.cacheLag, dropEvery: set.cacheGap},
	}
	r.kill, r.killAll = context.WithCancel(context.Background())
	// The first report has no date, so that it is visible at once.
	r.reports.list = []report{{load: r.report()}}
	r.Host = host.New(r.routes(), set.host...)
	return r
}

// Start listens and runs the engine until Close.
func (r *Runner) Start() error {
	if err := r.Host.Start(); err != nil {
		return err
	}
	r.Go(r.loop)
	return nil
}

func (r *Runner) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/generate", r.generate)
	mux.HandleFunc("GET /v1/generations/{id}", r.resume)
	mux.HandleFunc("DELETE /v1/generations/{id}", r.cancel)
	mux.HandleFunc("GET /v1/generations/{id}/status", r.status)
	mux.HandleFunc("GET /v1/load", r.getLoad)
	mux.HandleFunc("GET /v1/cache_events", r.cacheEvents)
	mux.HandleFunc("POST /v1/orders", r.postOrder)
	protocol := http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if !r.waitThawed(req.Context(), ScopeAll, 0) {
			host.Cut()
		}
		r.mu.Lock()
		if r.leaving && !r.set.quietLeave {
			w.Header().Set("Endpoint-State", "leaving")
		}
		r.mu.Unlock()
		mux.ServeHTTP(w, req)
	})
	all := http.NewServeMux()
	all.Handle("/", protocol)
	r.adminRoutes(all)
	return all
}

// loop runs the engine's steps when they are due.
func (r *Runner) loop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-r.Context().Done():
			return
		case <-timer.C:
		case <-r.wakeup:
		}
		if !r.waitThawed(r.Context(), ScopeEngine, 0) || !r.waitThawed(r.Context(), ScopeAll, 0) {
			return
		}
		r.mu.Lock()
		r.step(time.Now())
		wait := time.Hour
		if next, ok := r.batch.Next(); ok {
			wait = time.Until(next.Add(r.lost))
		}
		if len(r.ended) > 0 {
			wait = min(wait, time.Until(r.ended[0].expires))
		}
		r.mu.Unlock()
		timer.Reset(max(wait, 0))
	}
}

// step runs the engine up to now and passes its events on to the generations.
func (r *Runner) step(now time.Time) {
	for _, e := range r.batch.Step(r.engineTime(now)) {
		g := r.gens[e.ID]
		switch {
		case e.Kind == batch.Stored || e.Kind == batch.Removed:
			r.events.add(now, e)
			continue
		case g == nil:
			continue
		case e.Kind == batch.Started:
			g.started, g.cached = true, e.Cached
		case e.Kind == batch.Token:
			g.tokens = e.Index + 1
		case e.Kind == batch.Preempted:
			g.preempts = append(g.preempts, e.Index)
		case e.Kind == batch.Done:
			r.state.Finished++
			g.reason = e.Reason
			r.end(now, g)
		}
		g.wake()
	}
	for len(r.ended) > 0 && !r.ended[0].expires.After(now) {
		delete(r.gens, r.ended[0].id)
		r.ended = r.ended[1:]
	}
	r.reports.add(now, r.set.loadLag, r.report())
}

func (r *Runner) end(now time.Time, g *generation) {
	g.done = true
	g.expires = now.Add(r.set.keep)
	r.ended = append(r.ended, g)
}

func (r *Runner) poke() {
	select {
	case r.wakeup <- struct{}{}:
	default:
	}
}

// maxBodyBytes leaves room for the largest prompt that a proxy may accept.
const maxBodyBytes = 64 << 20

// generationIDLen keeps tokens short; 64 random bits do not collide within a test.
const generationIDLen = 16

func (r *Runner) generate(w http.ResponseWriter, hr *http.Request) {
	var req core.GenerateRequest
	if !host.Decode(w, hr, maxBodyBytes, &req) {
		return
	}
	g, status, msg := r.begin(req)
	if g == nil {
		if status == http.StatusServiceUnavailable {
			w.Header().Set("Endpoint-State", "leaving") // also when it began to leave after the check of routes
		}
		host.Refuse(w, status, "%s", msg)
		return
	}
	g = r.swapped(hr.Context(), g)
	w.Header().Set("Generation-Id", string(g.id))
	r.stream(w, hr, g, cursor{})
}

// begin queues a generation, or returns the status and message of the refusal.
func (r *Runner) begin(req core.GenerateRequest) (*generation, int, string) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaving && !r.set.quietLeave && !r.set.takes {
		r.state.Refused++
		return nil, http.StatusServiceUnavailable, "the runner is leaving"
	}
	if m := r.order.loaded(now); req.Model == "" || req.Model != m {
		return nil, http.StatusConflict, "model " + strconv.Quote(string(req.Model)) + " is not loaded, the runner has " + strconv.Quote(string(m))
	}
	id := core.GenerationID(core.NewRandomID()[:generationIDLen])
	output, mark := directives(req.Prompt)
	if n := r.set.output(req); n > 0 {
		output = n
	}
	r.step(now)
	err := r.batch.Add(r.engineTime(now), batch.Request{
		ID: id, PromptTokens: batch.PromptTokens(req.Prompt), Prefixes: batch.Prefixes(req.Prompt, r.batch.Config().BlockTokens),
		OutputTokens: output, MaxTokens: req.MaxTokens, Seed: req.Seed, Priority: req.Priority,
	})
	if err != nil {
		return nil, http.StatusBadRequest, err.Error()
	}
	g := &generation{id: id, req: req.RequestID, prefix: tokenPrefix(id, req.RequestID, mark), changed: make(chan struct{})}
	r.gens[id] = g
	r.state.Started++
	if r.starts[req.RequestID]++; r.starts[req.RequestID] > 1 {
		r.state.Duplicates++
	}
	r.poke()
	return g, 0, ""
}

func (r *Runner) find(w http.ResponseWriter, hr *http.Request) *generation {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.gens[core.GenerationID(hr.PathValue("id"))]
	if g == nil {
		host.Refuse(w, http.StatusNotFound, "generation %q does not exist", hr.PathValue("id"))
	}
	return g
}

func (r *Runner) resume(w http.ResponseWriter, hr *http.Request) {
	from, err := strconv.ParseInt("0"+hr.URL.Query().Get("from"), 10, 64)
	if err != nil {
		host.Refuse(w, http.StatusBadRequest, "from is not a number of tokens")
		return
	}
	g := r.find(w, hr)
	if g == nil {
		return
	}
	g = r.swapped(hr.Context(), g)
	r.mu.Lock()
	tokens, done := g.tokens, g.done
	r.state.Resumed++
	r.mu.Unlock()
	if done && core.Tokens(from) > tokens {
		host.Refuse(w, http.StatusBadRequest, "the generation ended after %d tokens", tokens)
		return
	}
	r.stream(w, hr, g, cursor{next: core.Tokens(from)})
}

// stream writes the generation from the cursor on; the generation goes on when the reader is gone.
func (r *Runner) stream(w http.ResponseWriter, hr *http.Request, g *generation, c cursor) {
	r.mu.Lock()
	kill := r.kill
	r.state.OpenStreams++
	r.opened++
	number := r.opened
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.state.OpenStreams--
		r.mu.Unlock()
	}()
	ctx, cancel := context.WithCancel(hr.Context())
	defer cancel()
	defer context.AfterFunc(kill, cancel)()
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.Header().Set("Generation-Id", string(g.id))
	w.WriteHeader(http.StatusOK)
	rc := http.NewResponseController(w)
	if rc.Flush() != nil {
		return
	}
	var buf []byte
	for {
		r.mu.Lock()
		var done bool
		buf, done = g.lines(buf[:0], &c)
		changed, behind := g.changed, c.next < g.tokens
		r.mu.Unlock()
		if len(buf) > 0 {
			if !r.waitThawed(ctx, ScopeStreams, number) || !r.waitThawed(ctx, ScopeAll, 0) {
				host.Cut()
			}
			if _, err := w.Write(buf); err != nil || rc.Flush() != nil {
				return
			}
		}
		if done {
			return
		}
		if behind {
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
			host.Cut()
		}
	}
}

func (r *Runner) cancel(w http.ResponseWriter, hr *http.Request) {
	g := r.find(w, hr)
	if g == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.batch.Cancel(g.id) {
		r.state.Canceled++
	}
	delete(r.gens, g.id)
	if !g.done {
		g.done = true
		g.wake()
	}
	w.WriteHeader(http.StatusNoContent)
}

func (r *Runner) status(w http.ResponseWriter, hr *http.Request) {
	g := r.find(w, hr)
	if g == nil {
		return
	}
	r.mu.Lock()
	s := core.GenerationStatus{RequestID: g.req, Tokens: g.tokens, Done: g.done}
	r.mu.Unlock()
	host.Reply(w, http.StatusOK, s)
}

func quoteJSON(s string) []byte {
	b, _ := json.Marshal(s) // strings always marshal
	return b
}
