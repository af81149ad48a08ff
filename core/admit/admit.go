package admit

import (
	"slices"
	"time"

	"snipeshed/core"
	"snipeshed/core/length"
)

const percent = 100

const (
	defaultHeadroomPercent = 92
	defaultSlackPercent    = 20
	// defaultRunningLimit is the usual limit of engines on sequences in one step; a call beyond it would wait there, out of reach.
	defaultRunningLimit = 64
	// defaultPromptLimit bounds the delay that new prompts cause to the streams of an endpoint.
	defaultPromptLimit core.Tokens = 512
	// minRunning is the number of running calls that the token gap targets leave to every endpoint: an engine that
	// cannot meet a target at all still has to serve.
	minRunning = 8
	// defaultBlockTokens is the size of the blocks that Call.Prefixes hash.
	defaultBlockTokens core.Tokens = 16
)

// Admit forecasts memory and chooses endpoints; it is not safe for concurrent use.
type Admit struct {
	headroom     int64
	slack        int64
	runningLimit int
	promptLimit  core.Tokens
	block        core.Tokens
	length       *length.Length
	gaps         map[core.RankName]time.Duration

	ends    map[core.EndpointID]*endpoint
	order   []*endpoint
	running map[core.RequestID]*running
	teams   map[core.TeamName]core.Tokens
}

type running struct {
	call      core.Call
	ep        *endpoint
	estimate  length.Estimate
	generated core.Tokens
	// more is the expected number of tokens to come; it is renewed once moreUntil tokens are generated.
	more, moreUntil core.Tokens
	// shared is the number of leading blocks counted once for all calls of the endpoint that have them.
	shared int
	// prompt is the part of the prompt that the engine still computes; 0 after the first token.
	prompt core.Tokens
	gap    time.Duration // token gap target
	last   time.Time     // the last token
}

// Option changes an Admit.
type Option func(*Admit)

// WithHeadroomPercent sets the share of an endpoint's memory that the forecast may fill.
func WithHeadroomPercent(n int64) Option { return func(a *Admit) { a.headroom = n } }

// WithSlackPercent sets the extra load, in percent of an endpoint's memory, that a cached prefix may justify.
func WithSlackPercent(n int64) Option { return func(a *Admit) { a.slack = n } }

// WithRunningLimit sets the largest number of running calls per endpoint.
func WithRunningLimit(n int) Option { return func(a *Admit) { a.runningLimit = n } }

// WithPromptLimit sets the largest number of prompt tokens that started calls of one endpoint still have to compute.
func WithPromptLimit(n core.Tokens) Option { return func(a *Admit) { a.promptLimit = n } }

// WithBlockTokens sets the size of the blocks that Call.Prefixes hash.
func WithBlockTokens(n core.Tokens) Option { return func(a *Admit) { a.block = n } }

// New returns an Admit without endpoints that takes lengths from l.
func New(l *length.Length, opts ...Option) *Admit {
	a := &Admit{
		headroom: defaultHeadroomPercent, slack: defaultSlackPercent, runningLimit: defaultRunningLimit, promptLimit: defaultPromptLimit, block: defaultBlockTokens,
		length: l, ends: map[core.EndpointID]*endpoint{}, running: map[core.RequestID]*running{}, teams: map[core.TeamName]core.Tokens{},
	}
	for _, o := range opts {
		o(a)
	}
	return a
}

// SetRules replaces the token gap targets; running calls keep theirs.
func (a *Admit) SetRules(rules core.PolicyRules) {
	a.gaps = map[core.RankName]time.Duration{}
	for _, r := range rules.Ranks {
		a.gaps[r.Name] = r.TokenGapTarget
	}
}

// SetRunners replaces the endpoints; calls at an endpoint that left stay counted until they finish.
func (a *Admit) SetRunners(runners []core.RunnerInfo) {
	a.order = a.order[:0]
	for _, r := range runners {
		e := a.end(r.ID)
		e.report(r)
		a.order = append(a.order, e)
	}
	for id, e := range a.ends {
		if !slices.Contains(a.order, e) {
			e.info.Accepting = false
			if len(e.running) == 0 {
				delete(a.ends, id)
			}
		}
	}
}

// Adopt counts a call that another owner started at an endpoint and that has generated some tokens.
func (a *Admit) Adopt(c core.Call, ep core.EndpointID, generated core.Tokens) {
	a.end(ep).adopt()
	a.Start(c, ep, generated)
}

// Start counts a call at an endpoint, with some tokens generated when it was adopted.
func (a *Admit) Start(c core.Call, ep core.EndpointID, generated core.Tokens) {
	e := a.end(ep)
	r := &running{call: c, ep: e, estimate: a.length.For(&c), generated: generated, gap: a.gaps[c.Rank]}
	r.expect()
	if generated == 0 {
		r.prompt = e.uncached(&c)
		e.prompts += r.prompt
	} else {
		e.decoding++
	}
	e.count(r.gap, 1, a.runningLimit)
	r.shared = e.match(&c)
	e.pin(r)
	e.running = append(e.running, r)
	e.most = max(e.most, len(e.running))
	e.sorted = false
	e.remember(&c)
	a.running[c.ID] = r
	a.teams[c.Team] += c.PromptTokens + generated
}

// Token records that a call has generated n tokens.
func (a *Admit) Token(now time.Time, id core.RequestID, n core.Tokens) {
	if r := a.running[id]; r != nil && n > r.generated {
		r.ep.pace.token(now, r, r.prompt, r.ep.decoding)
		if t := r.ep.target(r.gap); t != nil && !r.last.IsZero() {
			t.limit.add(now, now.Sub(r.last), r.gap, r.ep.streams(r.gap), a.runningLimit)
		}
		r.last = now
		if r.generated == 0 {
			r.ep.decoding++
		}
		r.ep.prompts -= r.prompt
		r.prompt = 0
		a.teams[r.call.Team] += n - r.generated
		r.ep.held += n - r.generated
		r.generated = n
		if n >= r.moreUntil {
			r.expect()
			r.ep.sorted = false
		}
	}
}

// renewParts makes a call's expectation be renewed each time it has grown by a sixteenth; the histograms are no finer.
const renewParts = 16

func (r *running) expect() {
	r.more = r.estimate.Expected(r.generated)
	r.moreUntil = r.generated + r.generated/renewParts + 1
}

// Cached corrects a call's shared blocks by what the engine reported.
func (a *Admit) Cached(id core.RequestID, n core.Tokens) {
	r := a.running[id]
	if r == nil {
		return
	}
	r.ep.unpin(r)
	r.shared = min(int(n/a.block), len(r.call.Prefixes))
	r.ep.pin(r)
	if r.generated == 0 {
		r.ep.prompts -= r.prompt
		r.prompt = r.call.PromptTokens - n
		r.ep.prompts += r.prompt
	}
}

// Preempted records that an engine pushed a call out, so that the gap until its next token is not taken for a step.
func (a *Admit) Preempted(id core.RequestID) {
	if r := a.running[id]; r != nil {
		r.ep.pace.forget(r)
		r.last = time.Time{}
	}
}

// Finish ends the count of a call.
func (a *Admit) Finish(id core.RequestID) {
	r := a.running[id]
	if r == nil {
		return
	}
	delete(a.running, id)
	e := r.ep
	e.unpin(r)
	e.pace.forget(r)
	e.count(r.gap, -1, a.runningLimit)
	if r.generated > 0 {
		e.decoding--
	}
	e.prompts -= r.prompt
	e.running = slices.DeleteFunc(e.running, func(o *running) bool { return o == r })
	if left := a.teams[r.call.Team] - r.call.PromptTokens - r.generated; left > 0 {
		a.teams[r.call.Team] = left
	} else {
		delete(a.teams, r.call.Team)
	}
	if len(e.running) == 0 && !slices.Contains(a.order, e) {
		delete(a.ends, e.info.ID)
	}
}

// TeamHeld returns the tokens of prompts and output that a team's running calls hold.
func (a *Admit) TeamHeld(t core.TeamName) core.Tokens { return a.teams[t] }

// Capacity returns the memory of the endpoints that accept calls.
func (a *Admit) Capacity() core.Tokens {
	var sum core.Tokens
	for _, e := range a.order {
		if e.info.Accepting {
			sum += e.info.KVCapacity
		}
	}
	return sum
}

// Runnable reports whether a prompt may fit into the memory of any endpoint, accepting or not.
//
// The size of an endpoint that has not reported yet is unknown: an instance that has just become the owner of a pool
// gets calls before the first reports.
func (a *Admit) Runnable(c *core.Call) bool {
	return slices.ContainsFunc(a.order, func(e *endpoint) bool {
		return e.info.KVCapacity == 0 || c.PromptTokens < e.info.KVCapacity
	})
}

// Choose returns the endpoint for a call: the longest cached prefix unless its load exceeds the lowest by the slack,
// otherwise the lowest forecast. Reserve is the share of memory in percent that this call must leave free; with a
// reserve also at a later peak of longer calls: it may last until then, and engines would preempt. When that peak had
// to leave the headroom only, engines preempted up to 2.1 calls per 1,000 in a flood of background work. Held lists
// endpoints that it must leave alone. When its prompt would delay streams beyond their token gap targets everywhere, the
// endpoint with the least delay is chosen; while that one computes another prompt and the call may wait, it is returned
// with false. When the call fits nowhere, the endpoint with the lowest forecast is returned with false.
func (a *Admit) Choose(c *core.Call, reserve int64, held []core.EndpointID, mayWait bool) (core.EndpointID, bool) {
	ch := choice{Admit: a, call: c, more: a.length.For(c).Expected(0), gap: a.gaps[c.Rank], reserve: reserve}
	onlyAvoided := a.onlyAvoided(c)
	for _, e := range a.order {
		if e.info.Accepting && c.PromptTokens < e.info.KVCapacity && !slices.Contains(held, e.info.ID) &&
			(onlyAvoided || !c.Avoids(e.info.ID)) {
			ch.consider(e)
		}
	}
	return ch.result(mayWait)
}

// full reports whether as many calls run as an endpoint may run next to a new one. Each token gap target has a
// limit of its own that counts streams with targets at most as long: urgent calls must not be refused because others
// took the places, and background calls may run where only urgent streams stall. It does not hold for a prompt that
// would delay the streams of a full endpoint: that goes where it delays least.
func (a *Admit) full(e *endpoint, gap time.Duration, prompt core.Tokens) bool {
	if !a.place(e) {
		return true
	}
	t := e.target(gap)
	return t != nil && e.streams(gap) >= t.limit.calls && !e.exceeds(e.pace.gap(a.runningLimit, prompt))
}

// tooMuch reports whether an endpoint that computes prompts already has to finish them first.
func (a *Admit) tooMuch(e *endpoint, prompts core.Tokens) bool {
	if e.pace.known && len(e.targets) > 0 {
		return e.exceeds(e.pace.gap(len(e.running), prompts))
	}
	return prompts > a.promptLimit
}

// onlyAvoided reports whether every accepting endpoint already failed the call; then these are tried again.
func (a *Admit) onlyAvoided(c *core.Call) bool {
	return len(c.Avoid) > 0 && !slices.ContainsFunc(a.order, func(e *endpoint) bool { return e.info.Accepting && !c.Avoids(e.info.ID) })
}

// Forecast returns the expected peak memory of an endpoint; it is never below what its calls hold now.
func (a *Admit) Forecast(ep core.EndpointID) core.Tokens {
	if e := a.ends[ep]; e != nil {
		peak, _ := e.forecast(nil, 0)
		return peak
	}
	return 0
}

// Loads returns what each endpoint runs, holds and is expected to hold.
func (a *Admit) Loads() []core.EndpointLoad {
	out := make([]core.EndpointLoad, 0, len(a.order))
	for _, e := range a.order {
		peak, _ := e.forecast(nil, 0)
		out = append(out, core.EndpointLoad{ID: e.info.ID, Running: len(e.running), Forecast: peak, Held: e.held})
	}
	return out
}

// Free reports whether any endpoint may run one more call.
func (a *Admit) Free() bool {
	return slices.ContainsFunc(a.order, func(e *endpoint) bool { return e.info.Accepting && a.place(e) })
}

// place reports whether an endpoint has a place for one more running call.
func (a *Admit) place(e *endpoint) bool {
	limit := a.runningLimit
	if e.sequences.limit > 0 {
		limit = min(limit, e.sequences.limit)
	}
	return len(e.running)+e.foreign < limit
}

func (a *Admit) end(id core.EndpointID) *endpoint {
	e := a.ends[id]
	if e == nil {
		e = newEndpoint(id, a.block)
		a.ends[id] = e
	}
	return e
}
