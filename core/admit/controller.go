package admit

import (
	"slices"
	"time"

	"snipeshed/core"
	"snipeshed/core/length"
)

const percent = 100

const (
	defaultHeadroomPercent = 92 // of an endpoint's memory
	defaultSlackPercent    = 20 // of an endpoint's memory
	// defaultRunningLimit is the batch size limit of most engines; a call beyond it would wait in the engine's own queue,
	// where it can no longer be reordered or sent elsewhere.
	defaultRunningLimit = 64 // calls
	// defaultPromptLimit bounds the delay that computing new prompts causes to the running streams of an endpoint.
	defaultPromptLimit core.Tokens = 512
	// minRunning is the number of running calls that every endpoint may have whatever the token gap targets: an engine
	// that can never meet a target still has to serve calls.
	minRunning = 8
	// defaultBlockTokens is the number of tokens by which each prefix in Call.Prefixes exceeds the one before it.
	defaultBlockTokens core.Tokens = 16
)

// Controller is the admission controller of a pool: it forecasts memory use and chooses endpoints for calls; it is not
// safe for concurrent use.
type Controller struct {
	headroomPercent int64
	slackPercent    int64
	runningLimit    int
	promptLimit     core.Tokens
	blockTokens     core.Tokens
	length          *length.Predictor
	gapTargets      map[core.RankName]time.Duration

	// endpoints holds the endpoints of the pool and removed ones that still run calls; current holds those of the pool.
	endpoints  map[core.EndpointID]*endpoint
	current    []*endpoint
	running    map[core.RequestID]*runningCall
	teamTokens map[core.TeamName]core.Tokens // memory that each team's running calls hold
}

// runningCall is a call that runs at an endpoint.
type runningCall struct {
	call      core.Call
	ep        *endpoint
	estimate  length.Estimate
	generated core.Tokens
	// expectedMore is the expected number of tokens still to come; it is recomputed once recomputeAt tokens are generated.
	expectedMore, recomputeAt core.Tokens
	// sharedBlocks is the number of leading prompt blocks whose memory is counted once for all calls of the endpoint
	// with them.
	sharedBlocks int
	// pendingPrompt is the number of prompt tokens that the engine still has to compute; 0 after the first output token.
	pendingPrompt core.Tokens
	gapTarget     time.Duration // token gap target of the rank
	lastToken     time.Time     // arrival of the last token
}

// Option configures a Controller.
type Option func(*Controller)

// WithHeadroomPercent sets the share of an endpoint's memory up to which the forecast may grow.
func WithHeadroomPercent(n int64) Option { return func(ctrl *Controller) { ctrl.headroomPercent = n } }

// WithSlackPercent sets the extra load, in percent of an endpoint's memory, that a cached prefix may justify.
func WithSlackPercent(n int64) Option { return func(ctrl *Controller) { ctrl.slackPercent = n } }

// WithRunningLimit sets the maximum number of running calls per endpoint.
func WithRunningLimit(n int) Option { return func(ctrl *Controller) { ctrl.runningLimit = n } }

// WithPromptLimit sets the maximum number of uncomputed prompt tokens of the started calls of one endpoint.
func WithPromptLimit(n core.Tokens) Option { return func(ctrl *Controller) { ctrl.promptLimit = n } }

// WithBlockTokens sets the number of tokens by which each prefix in Call.Prefixes exceeds the one before it.
func WithBlockTokens(n core.Tokens) Option { return func(ctrl *Controller) { ctrl.blockTokens = n } }

// New returns a Controller without endpoints that predicts output lengths with l.
func New(l *length.Predictor, opts ...Option) *Controller {
	ctrl := &Controller{
		headroomPercent: defaultHeadroomPercent, slackPercent: defaultSlackPercent, runningLimit: defaultRunningLimit,
		promptLimit: defaultPromptLimit, blockTokens: defaultBlockTokens,
		length: l, endpoints: map[core.EndpointID]*endpoint{}, running: map[core.RequestID]*runningCall{},
		teamTokens: map[core.TeamName]core.Tokens{},
	}
	for _, o := range opts {
		o(ctrl)
	}
	return ctrl
}

// SetRules replaces the token gap targets; running calls keep their present one.
func (ctrl *Controller) SetRules(rules core.PolicyRules) {
	ctrl.gapTargets = map[core.RankName]time.Duration{}
	for _, r := range rules.Ranks {
		ctrl.gapTargets[r.Name] = r.TokenGapTarget
	}
}

// SetRunners replaces the endpoints; calls at a removed endpoint stay counted until they finish.
func (ctrl *Controller) SetRunners(runners []core.RunnerInfo) {
	ctrl.current = ctrl.current[:0]
	for _, r := range runners {
		e := ctrl.endpointFor(r.ID)
		e.applyReport(r)
		ctrl.current = append(ctrl.current, e)
	}
	for id, e := range ctrl.endpoints {
		if !slices.Contains(ctrl.current, e) {
			e.info.Accepting = false
			if len(e.running) == 0 {
				delete(ctrl.endpoints, id)
			}
		}
	}
}

// Adopt takes over a call that another owner started at an endpoint and that has generated some tokens.
func (ctrl *Controller) Adopt(c core.Call, ep core.EndpointID, generated core.Tokens) {
	ctrl.endpointFor(ep).adoptForeign()
	ctrl.Start(c, ep, generated)
}

// Start records that a call runs at an endpoint; generated is above 0 only for an adopted call.
func (ctrl *Controller) Start(c core.Call, ep core.EndpointID, generated core.Tokens) {
	e := ctrl.endpointFor(ep)
	r := &runningCall{call: c, ep: e, estimate: ctrl.length.EstimateFor(&c), generated: generated, gapTarget: ctrl.gapTargets[c.Rank]}
	r.updateExpected()
	if generated == 0 {
		r.pendingPrompt = e.uncachedTokens(&c)
		e.pendingPrompts += r.pendingPrompt
	} else {
		e.decodingCalls++
	}
	e.addCalls(r.gapTarget, 1, ctrl.runningLimit)
	r.sharedBlocks = e.sharedBlocks(&c)
	e.addMemory(r)
	e.running = append(e.running, r)
	e.maxRunning = max(e.maxRunning, len(e.running))
	e.sorted = false
	e.rememberPrefixes(&c)
	ctrl.running[c.ID] = r
	ctrl.teamTokens[c.Team] += c.PromptTokens + generated
}

// RecordTokens records that a call has generated n tokens in all.
func (ctrl *Controller) RecordTokens(now time.Time, id core.RequestID, n core.Tokens) {
	if r := ctrl.running[id]; r != nil && n > r.generated {
		r.ep.stepTime.recordToken(now, r, r.pendingPrompt, r.ep.decodingCalls)
		if t := r.ep.findGapTarget(r.gapTarget); t != nil && !r.lastToken.IsZero() {
			t.streamLimit.recordGap(now, now.Sub(r.lastToken), r.gapTarget, r.ep.callsWithin(r.gapTarget), ctrl.runningLimit)
		}
		r.lastToken = now
		if r.generated == 0 {
			r.ep.decodingCalls++
		}
		r.ep.pendingPrompts -= r.pendingPrompt
		r.pendingPrompt = 0
		ctrl.teamTokens[r.call.Team] += n - r.generated
		r.ep.heldTokens += n - r.generated
		r.generated = n
		if n >= r.recomputeAt {
			r.updateExpected()
			r.ep.sorted = false
		}
	}
}

// expectedUpdateDivisor makes the expected remaining length be recomputed each time a call has grown by a sixteenth;
// the length histograms are no finer.
const expectedUpdateDivisor = 16

func (r *runningCall) updateExpected() {
	r.expectedMore = r.estimate.Expected(r.generated)
	r.recomputeAt = r.generated + r.generated/expectedUpdateDivisor + 1
}

// RecordCached records that the engine had n prompt tokens of a call in its cache, and corrects the shared blocks
// accordingly.
func (ctrl *Controller) RecordCached(id core.RequestID, n core.Tokens) {
	r := ctrl.running[id]
	if r == nil {
		return
	}
	r.ep.removeMemory(r)
	r.sharedBlocks = min(int(n/ctrl.blockTokens), len(r.call.Prefixes))
	r.ep.addMemory(r)
	if r.generated == 0 {
		r.ep.pendingPrompts -= r.pendingPrompt
		r.pendingPrompt = r.call.PromptTokens - n
		r.ep.pendingPrompts += r.pendingPrompt
	}
}

// RecordPreemption records that an engine preempted a call, so that the gap until its next token is not taken for the
// duration of a step.
func (ctrl *Controller) RecordPreemption(id core.RequestID) {
	if r := ctrl.running[id]; r != nil {
		r.ep.stepTime.stopTiming(r)
		r.lastToken = time.Time{}
	}
}

// Finish records that a running call ended.
func (ctrl *Controller) Finish(id core.RequestID) {
	r := ctrl.running[id]
	if r == nil {
		return
	}
	delete(ctrl.running, id)
	e := r.ep
	e.removeMemory(r)
	e.stepTime.stopTiming(r)
	e.addCalls(r.gapTarget, -1, ctrl.runningLimit)
	if r.generated > 0 {
		e.decodingCalls--
	}
	e.pendingPrompts -= r.pendingPrompt
	e.running = slices.DeleteFunc(e.running, func(o *runningCall) bool { return o == r })
	if left := ctrl.teamTokens[r.call.Team] - r.call.PromptTokens - r.generated; left > 0 {
		ctrl.teamTokens[r.call.Team] = left
	} else {
		delete(ctrl.teamTokens, r.call.Team)
	}
	if len(e.running) == 0 && !slices.Contains(ctrl.current, e) {
		delete(ctrl.endpoints, e.info.ID)
	}
}

// TeamTokens returns the number of prompt and output tokens that a team's running calls hold in memory.
func (ctrl *Controller) TeamTokens(t core.TeamName) core.Tokens { return ctrl.teamTokens[t] }

// Capacity returns the total memory of the endpoints that accept calls.
func (ctrl *Controller) Capacity() core.Tokens {
	var sum core.Tokens
	for _, e := range ctrl.current {
		if e.info.Accepting {
			sum += e.info.KVCapacity
		}
	}
	return sum
}

// MayFit reports whether a call's prompt may fit into the memory of any endpoint, accepting or not.
//
// An endpoint that has not reported its capacity yet counts as large enough: an instance that has just become the owner
// of a pool gets calls before the first reports.
func (ctrl *Controller) MayFit(c *core.Call) bool {
	return slices.ContainsFunc(ctrl.current, func(e *endpoint) bool {
		return e.info.KVCapacity == 0 || c.PromptTokens < e.info.KVCapacity
	})
}

// Choose returns the endpoint on which to start a call, and true, or the endpoint for which the call should wait, and
// false.
//
// It prefers the endpoint with the longest cached prefix if its load exceeds the lowest load by at most the slack, and
// otherwise the one with the lowest forecast. If the prompt would delay streams beyond their token gap targets on every
// endpoint, it chooses the one with the least delay. While that one is busy with another prompt, the call should wait for
// it if mayWait is set, and otherwise goes to the one with the least delay that is not busy, if there is any. If the call
// fits nowhere, it should wait for the endpoint with the lowest forecast.
//
// The call must leave reserve percent of the memory free, in addition to what the headroom percentage leaves free, until
// it is expected to end. If reserve is above 0, that much must also stay free at a later peak caused by longer calls,
// because the call may run longer than expected and the engine would then preempt calls: if only the headroom had to stay
// free at that peak, engines would preempt up to 2.1 calls per 1,000 in a flood of background work. The endpoints in held
// are kept for other calls.
func (ctrl *Controller) Choose(c *core.Call, reserve int64, held []core.EndpointID, mayWait bool) (core.EndpointID, bool) {
	ch := choice{Controller: ctrl, call: c, expectedOutput: ctrl.length.EstimateFor(c).Expected(0), gapTarget: ctrl.gapTargets[c.Rank], reserve: reserve}
	onlyAvoided := ctrl.onlyAvoided(c)
	for _, e := range ctrl.current {
		if e.info.Accepting && c.PromptTokens < e.info.KVCapacity && !slices.Contains(held, e.info.ID) &&
			(onlyAvoided || !c.Avoids(e.info.ID)) {
			ch.consider(e)
		}
	}
	return ch.result(mayWait)
}

// full reports whether an endpoint has reached a limit of running calls that applies to a new call.
//
// Each token gap target has its own limit, which counts the streams whose targets are at most as long: urgent calls must
// not be refused because less urgent ones took the slots, and background calls may run where only urgent streams stall.
// The limit of a target does not apply to a prompt that would delay the streams of a full endpoint anyway: such a prompt
// goes where it causes the least delay.
func (ctrl *Controller) full(e *endpoint, gap time.Duration, prompt core.Tokens) bool {
	if !ctrl.hasFreeSlot(e) {
		return true
	}
	t := e.findGapTarget(gap)
	return t != nil && e.callsWithin(gap) >= t.streamLimit.limit && !e.exceedsGapTarget(e.stepTime.expectedGap(ctrl.runningLimit, prompt))
}

// promptsExceedLimit reports whether computing this many prompt tokens at once would exceed the token gap targets of an
// endpoint or, as long as its step times are unknown, the prompt limit.
func (ctrl *Controller) promptsExceedLimit(e *endpoint, prompts core.Tokens) bool {
	if e.stepTime.known && len(e.gapTargets) > 0 {
		return e.exceedsGapTarget(e.stepTime.expectedGap(len(e.running), prompts))
	}
	return prompts > ctrl.promptLimit
}

// onlyAvoided reports whether every accepting endpoint already failed the call, so that they have to be tried again.
func (ctrl *Controller) onlyAvoided(c *core.Call) bool {
	return len(c.Avoid) > 0 && !slices.ContainsFunc(ctrl.current, func(e *endpoint) bool { return e.info.Accepting && !c.Avoids(e.info.ID) })
}

// Forecast returns the expected peak memory of an endpoint; it is never below what its calls hold now.
func (ctrl *Controller) Forecast(ep core.EndpointID) core.Tokens {
	if e := ctrl.endpoints[ep]; e != nil {
		peak, _ := e.forecast(nil, 0)
		return peak
	}
	return 0
}

// Loads returns the number of running calls, the held memory and the forecast of each endpoint.
func (ctrl *Controller) Loads() []core.EndpointLoad {
	out := make([]core.EndpointLoad, 0, len(ctrl.current))
	for _, e := range ctrl.current {
		peak, _ := e.forecast(nil, 0)
		out = append(out, core.EndpointLoad{ID: e.info.ID, Running: len(e.running), Forecast: peak, Held: e.heldTokens})
	}
	return out
}

// HasFreeSlot reports whether any endpoint accepts calls and is below its limit of running calls.
func (ctrl *Controller) HasFreeSlot() bool {
	return slices.ContainsFunc(ctrl.current, func(e *endpoint) bool { return e.info.Accepting && ctrl.hasFreeSlot(e) })
}

// hasFreeSlot reports whether an endpoint is below its limit of running calls.
func (ctrl *Controller) hasFreeSlot(e *endpoint) bool {
	limit := ctrl.runningLimit
	if e.sequenceLimit.limit > 0 {
		limit = min(limit, e.sequenceLimit.limit)
	}
	return len(e.running)+e.foreignCalls < limit
}

// endpointFor returns the state of an endpoint and creates it if there is none.
func (ctrl *Controller) endpointFor(id core.EndpointID) *endpoint {
	e := ctrl.endpoints[id]
	if e == nil {
		e = newEndpoint(id, ctrl.blockTokens)
		ctrl.endpoints[id] = e
	}
	return e
}
