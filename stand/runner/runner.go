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

// Runner is an HTTP server that simulates a model runner.
type Runner struct {
	*host.Server
	cfg settings

	mu              sync.Mutex
	engine          *batch.Engine
	generations     map[core.GenerationID]*generation
	ended           []*generation // generations that ended, by expiry
	wakeup          chan struct{}
	streamsCtx      context.Context // canceled and replaced to cut all open streams
	cutStreams      context.CancelFunc
	leaving         bool
	freezes         map[Scope]*activeFreeze
	frozenAt        time.Time     // start of the current freeze of the engine
	frozenTotal     time.Duration // total duration of the engine's earlier freezes
	lastStream      int64         // number of the stream opened last
	order           acceptedOrder
	loadHistory     loadHistory
	cacheLog        cacheLog
	state           State
	startsByRequest map[core.RequestID]int
	swaps           answerSwaps
}

// State is a runner's current state with counters since its creation. Unlike load reports it is never stale.
type State struct {
	batch.Load
	Leaving bool `json:"leaving"`
	// Loading reports whether the runner is loading a model.
	Loading     bool  `json:"loading"`
	Started     int64 `json:"started"`
	Finished    int64 `json:"finished"`
	Canceled    int64 `json:"canceled"`
	Resumed     int64 `json:"resumed"`
	OpenStreams int64 `json:"open_streams"`
	// Duplicates counts generations of a request ID for which an earlier generation was started.
	Duplicates int64 `json:"duplicates"`
	// Refused counts generations that were refused because the runner is leaving.
	Refused int64 `json:"refused"`
}

// New returns a runner that is not yet started.
func New(opts ...Option) *Runner {
	cfg := defaults()
	for _, o := range opts {
		o(&cfg)
	}
	r := &Runner{
		cfg:             cfg,
		engine:          batch.New(cfg.engineConfig()),
		generations:     map[core.GenerationID]*generation{},
		wakeup:          make(chan struct{}, 1),
		freezes:         map[Scope]*activeFreeze{},
		startsByRequest: map[core.RequestID]int{},
		order:           acceptedOrder{RunnerOrder: core.RunnerOrder{Model: cfg.model, Version: cfg.version, Role: cfg.role}},
		cacheLog:        cacheLog{lag: cfg.cacheLag, dropEvery: cfg.cacheDropEvery},
	}
	r.streamsCtx, r.cutStreams = context.WithCancel(context.Background())
	// The zero time of the first report makes it visible at once, without the load lag.
	r.loadHistory.reports = []loadReport{{load: r.currentLoad()}}
	r.Server = host.New(r.routes(), cfg.hostOptions...)
	return r
}

// Start serves HTTP and runs the engine until Close.
func (r *Runner) Start() error {
	if err := r.Server.Start(); err != nil {
		return err
	}
	r.Go(r.runEngine)
	return nil
}

func (r *Runner) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/generate", r.handleGenerate)
	mux.HandleFunc("GET /v1/generations/{id}", r.handleResume)
	mux.HandleFunc("DELETE /v1/generations/{id}", r.handleCancel)
	mux.HandleFunc("GET /v1/generations/{id}/status", r.handleStatus)
	mux.HandleFunc("GET /v1/load", r.handleLoad)
	mux.HandleFunc("GET /v1/cache_events", r.handleCacheEvents)
	mux.HandleFunc("POST /v1/orders", r.handleOrder)
	protocolHandler := http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if !r.waitThawed(req.Context(), ScopeAll, 0) {
			host.AbortConnection()
		}
		r.mu.Lock()
		if r.leaving && !r.cfg.leavingOnlyInLoad {
			w.Header().Set("Endpoint-State", "leaving")
		}
		r.mu.Unlock()
		mux.ServeHTTP(w, req)
	})
	root := http.NewServeMux()
	root.Handle("/", protocolHandler)
	r.adminRoutes(root)
	return root
}

// runEngine runs the engine's steps when they are due and expires ended generations, until the runner is closed.
func (r *Runner) runEngine() {
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
		r.stepEngine(time.Now())
		wait := time.Hour
		if next, ok := r.engine.Next(); ok {
			wait = time.Until(next.Add(r.frozenTotal))
		}
		if len(r.ended) > 0 {
			wait = min(wait, time.Until(r.ended[0].expiresAt))
		}
		r.mu.Unlock()
		timer.Reset(max(wait, 0))
	}
}

// stepEngine advances the engine to now, applies its events to the generations and removes expired ones. It requires r.mu.
func (r *Runner) stepEngine(now time.Time) {
	for _, e := range r.engine.Step(r.engineTime(now)) {
		g := r.generations[e.ID]
		switch {
		case e.Kind == batch.Stored || e.Kind == batch.Removed:
			r.cacheLog.add(now, e)
			continue
		case g == nil:
			continue
		case e.Kind == batch.Started:
			g.started, g.cachedTokens = true, e.Cached
		case e.Kind == batch.Token:
			g.tokens = e.Index + 1
		case e.Kind == batch.Preempted:
			g.preemptedAt = append(g.preemptedAt, e.Index)
		case e.Kind == batch.Done:
			r.state.Finished++
			g.finishReason = e.Reason
			r.markEnded(now, g)
		}
		g.notifyReaders()
	}
	for len(r.ended) > 0 && !r.ended[0].expiresAt.After(now) {
		delete(r.generations, r.ended[0].id)
		r.ended = r.ended[1:]
	}
	r.loadHistory.add(now, r.cfg.loadLag, r.currentLoad())
}

func (r *Runner) markEnded(now time.Time, g *generation) {
	g.done = true
	g.expiresAt = now.Add(r.cfg.retention)
	r.ended = append(r.ended, g)
}

func (r *Runner) wakeEngine() {
	select {
	case r.wakeup <- struct{}{}:
	default:
	}
}

// maxBodyBytes exceeds the largest prompt that a proxy may accept.
const maxBodyBytes = 64 << 20

// generationIDLen is the length of a generation ID in hex digits. It is short because each token repeats the ID; 64 random
// bits do not collide within a test.
const generationIDLen = 16

func (r *Runner) handleGenerate(w http.ResponseWriter, hr *http.Request) {
	var req core.GenerateRequest
	if !host.DecodeJSON(w, hr, maxBodyBytes, &req) {
		return
	}
	g, status, msg := r.startGeneration(req)
	if g == nil {
		if status == http.StatusServiceUnavailable {
			w.Header().Set("Endpoint-State", "leaving") // it may have started to leave after the check in routes
		}
		host.WriteError(w, status, "%s", msg)
		return
	}
	g = r.swapGeneration(hr.Context(), g)
	w.Header().Set("Generation-Id", string(g.id))
	r.serveStream(w, hr, g, cursor{})
}

// startGeneration queues a generation, or returns nil with the HTTP status and message of the refusal.
func (r *Runner) startGeneration(req core.GenerateRequest) (*generation, int, string) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaving && !r.cfg.leavingOnlyInLoad && !r.cfg.acceptWhileLeaving {
		r.state.Refused++
		return nil, http.StatusServiceUnavailable, "the runner is leaving; choose another"
	}
	if m := r.order.loadedModel(now); req.Model == "" || req.Model != m {
		return nil, http.StatusConflict, "model " + strconv.Quote(string(req.Model)) + " is not loaded, the runner has " + strconv.Quote(string(m))
	}
	id := core.GenerationID(core.NewRandomID()[:generationIDLen])
	output, mark := parseDirectives(req.Prompt)
	if n := r.cfg.outputTokens(req); n > 0 {
		output = n
	}
	r.stepEngine(now)
	err := r.engine.Add(r.engineTime(now), batch.Request{
		ID: id, PromptTokens: batch.PromptTokens(req.Prompt), Prefixes: batch.PrefixHashes(req.Prompt, r.engine.Config().BlockTokens),
		OutputTokens: output, MaxTokens: req.MaxTokens, Seed: req.Seed, Priority: req.Priority,
	})
	if err != nil {
		return nil, http.StatusBadRequest, err.Error()
	}
	g := &generation{id: id, requestID: req.RequestID, tokenPrefix: tokenPrefix(id, req.RequestID, mark), changed: make(chan struct{})}
	r.generations[id] = g
	r.state.Started++
	if r.startsByRequest[req.RequestID]++; r.startsByRequest[req.RequestID] > 1 {
		r.state.Duplicates++
	}
	r.wakeEngine()
	return g, 0, ""
}

func (r *Runner) findGeneration(w http.ResponseWriter, hr *http.Request) *generation {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.generations[core.GenerationID(hr.PathValue("id"))]
	if g == nil {
		host.WriteError(w, http.StatusNotFound, "generation %q does not exist", hr.PathValue("id"))
	}
	return g
}

func (r *Runner) handleResume(w http.ResponseWriter, hr *http.Request) {
	from, err := strconv.ParseInt("0"+hr.URL.Query().Get("from"), 10, 64)
	if err != nil {
		host.WriteError(w, http.StatusBadRequest, "query parameter from is not a number of tokens")
		return
	}
	g := r.findGeneration(w, hr)
	if g == nil {
		return
	}
	g = r.swapGeneration(hr.Context(), g)
	r.mu.Lock()
	tokens, done := g.tokens, g.done
	r.state.Resumed++
	r.mu.Unlock()
	if done && core.Tokens(from) > tokens {
		host.WriteError(w, http.StatusBadRequest, "the generation ended after %d tokens", tokens)
		return
	}
	r.serveStream(w, hr, g, cursor{nextToken: core.Tokens(from)})
}

// serveStream writes the generation as NDJSON from the cursor on. The generation continues if the client disconnects.
func (r *Runner) serveStream(w http.ResponseWriter, hr *http.Request, g *generation, c cursor) {
	r.mu.Lock()
	streamsCtx := r.streamsCtx
	r.state.OpenStreams++
	r.lastStream++
	streamNumber := r.lastStream
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.state.OpenStreams--
		r.mu.Unlock()
	}()
	ctx, cancel := context.WithCancel(hr.Context())
	defer cancel()
	defer context.AfterFunc(streamsCtx, cancel)()
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
		buf, done = g.appendLines(buf[:0], &c)
		changed, hasMore := g.changed, c.nextToken < g.tokens
		r.mu.Unlock()
		if len(buf) > 0 {
			if !r.waitThawed(ctx, ScopeStreams, streamNumber) || !r.waitThawed(ctx, ScopeAll, 0) {
				host.AbortConnection()
			}
			if _, err := w.Write(buf); err != nil || rc.Flush() != nil {
				return
			}
		}
		if done {
			return
		}
		if hasMore {
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
			host.AbortConnection()
		}
	}
}

func (r *Runner) handleCancel(w http.ResponseWriter, hr *http.Request) {
	g := r.findGeneration(w, hr)
	if g == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.engine.Cancel(g.id) {
		r.state.Canceled++
	}
	delete(r.generations, g.id)
	if !g.done {
		g.done = true
		g.notifyReaders()
	}
	w.WriteHeader(http.StatusNoContent)
}

func (r *Runner) handleStatus(w http.ResponseWriter, hr *http.Request) {
	g := r.findGeneration(w, hr)
	if g == nil {
		return
	}
	r.mu.Lock()
	s := core.GenerationStatus{RequestID: g.requestID, Tokens: g.tokens, Done: g.done}
	r.mu.Unlock()
	host.WriteJSON(w, http.StatusOK, s)
}

func quoteJSON(s string) []byte {
	b, _ := json.Marshal(s) // marshaling a string cannot fail
	return b
}
