package fifo

import (
	"slices"
	"time"

	"snipeshed/core"
)

const (
	defaultRunningLimit = 32   // calls per endpoint
	defaultQueueLimit   = 1024 // calls
)

// retryAfter is constant because this baseline doesn't estimate waiting times.
const retryAfter = time.Second

// Fifo is a core.Policy that serves calls in order of arrival, round robin over endpoints with a free slot.
type Fifo struct {
	runningLimit int
	queueLimit   int
	endpointLess func(a, b *core.RunnerInfo) bool

	queue              []core.Call
	runners            []core.RunnerInfo
	nextIndex          int
	running            map[core.RequestID]*runningCall
	runningPerEndpoint map[core.EndpointID]int
	rules              core.PolicyRules
}

// runningCall is a call that runs at an endpoint.
type runningCall struct {
	ep         core.EndpointID
	heldTokens core.Tokens
	call       core.Call
}

var _ core.Policy = (*Fifo)(nil)

// Option configures a Fifo.
type Option func(*Fifo)

// WithRunningLimit sets the maximum number of running calls per endpoint.
func WithRunningLimit(n int) Option { return func(f *Fifo) { f.runningLimit = n } }

// WithQueueLimit sets the maximum number of waiting calls.
func WithQueueLimit(n int) Option { return func(f *Fifo) { f.queueLimit = n } }

// WithEndpointOrder replaces round robin: of the endpoints with a free slot, the first one in the order of less is
// chosen.
func WithEndpointOrder(less func(a, b *core.RunnerInfo) bool) Option {
	return func(f *Fifo) { f.endpointLess = less }
}

// New returns a Fifo without endpoints.
func New(opts ...Option) *Fifo {
	f := &Fifo{
		runningLimit:       defaultRunningLimit,
		queueLimit:         defaultQueueLimit,
		running:            map[core.RequestID]*runningCall{},
		runningPerEndpoint: map[core.EndpointID]int{},
	}
	for _, o := range opts {
		o(f)
	}
	return f
}

// Offer starts, queues or refuses a call.
func (f *Fifo) Offer(now time.Time, c core.Call) []core.Action {
	if len(f.queue) >= f.queueLimit {
		return []core.Action{refusal(c.ID, core.KindOverloaded, "the pool's queue is full")}
	}
	f.queue = append(f.queue, c)
	return f.dispatch(now, nil)
}

// Adopt takes over a call that already runs at an endpoint.
func (f *Fifo) Adopt(_ time.Time, c core.Call, ep core.EndpointID, generated core.Tokens) {
	f.recordRunning(c, ep, generated)
}

// RecordTokens updates the memory of a running call that Load reports.
func (f *Fifo) RecordTokens(_ time.Time, id core.RequestID, n core.Tokens) {
	if r := f.running[id]; r != nil {
		r.heldTokens = r.call.PromptTokens + n
	}
}

// RecordCached is ignored.
func (f *Fifo) RecordCached(time.Time, core.RequestID, core.Tokens) {}

// RecordPreemption is ignored.
func (f *Fifo) RecordPreemption(time.Time, core.RequestID) {}

// Finish frees the slot of a running call and starts waiting calls.
func (f *Fifo) Finish(now time.Time, id core.RequestID, _ bool) []core.Action {
	r := f.running[id]
	if r == nil {
		return nil
	}
	delete(f.running, id)
	f.runningPerEndpoint[r.ep]--
	return f.dispatch(now, nil)
}

// Cancel withdraws a waiting call.
func (f *Fifo) Cancel(now time.Time, id core.RequestID) []core.Action {
	f.queue = slices.DeleteFunc(f.queue, func(c core.Call) bool { return c.ID == id })
	return f.dispatch(now, nil)
}

// SetRunners replaces the endpoints; running calls keep their slots.
func (f *Fifo) SetRunners(now time.Time, runners []core.RunnerInfo) []core.Action {
	f.runners = slices.Clone(runners)
	return f.dispatch(now, nil)
}

// SetRules stores the ranks that Load reports; the order of service ignores them.
func (f *Fifo) SetRules(_ time.Time, rules core.PolicyRules) []core.Action {
	f.rules = rules
	return nil
}

// Tick refuses calls whose deadline has passed.
func (f *Fifo) Tick(now time.Time) []core.Action {
	var acts []core.Action
	f.queue = slices.DeleteFunc(f.queue, func(c core.Call) bool {
		expired := !c.Deadline.IsZero() && !now.Before(c.Deadline)
		if expired {
			acts = append(acts, refusal(c.ID, core.KindDeadline, "the deadline passed while the call waited"))
		}
		return expired
	})
	return f.dispatch(now, acts)
}

// Load returns the numbers of waiting and running calls; waiting times are not estimated.
func (f *Fifo) Load(time.Time) core.PoolLoad {
	var l core.PoolLoad
	waiting := map[core.RankName]int{}
	for i := range f.queue {
		waiting[f.queue[i].Rank]++
	}
	for _, r := range f.rules.Ranks {
		l.Ranks = append(l.Ranks, core.RankLoad{Rank: r.Name, Waiting: waiting[r.Name], Shedding: len(f.queue) >= f.queueLimit})
	}
	held := map[core.EndpointID]core.Tokens{}
	for _, r := range f.running {
		held[r.ep] += r.heldTokens
	}
	for _, r := range f.runners {
		l.Endpoints = append(l.Endpoints, core.EndpointLoad{ID: r.ID, Running: f.runningPerEndpoint[r.ID], Held: held[r.ID], Forecast: held[r.ID]})
	}
	return l
}

// dispatch starts calls from the head of the queue until no endpoint has a free slot.
func (f *Fifo) dispatch(_ time.Time, acts []core.Action) []core.Action {
	for len(f.queue) > 0 {
		ep, ok := f.pickEndpoint(&f.queue[0])
		if !ok {
			break
		}
		c := f.queue[0]
		f.queue = f.queue[1:]
		f.recordRunning(c, ep, 0)
		acts = append(acts, core.Action{Kind: core.ActionStart, ID: c.ID, Endpoint: ep})
	}
	return acts
}

// pickEndpoint returns the next endpoint with a free slot; one that failed the call is chosen only when no other
// accepts calls.
func (f *Fifo) pickEndpoint(c *core.Call) (core.EndpointID, bool) {
	onlyAvoided := true
	for i := range f.runners {
		if f.runners[i].Accepting && !c.Avoids(f.runners[i].ID) {
			onlyAvoided = false
		}
	}
	best := -1
	for i := range f.runners {
		k := (f.nextIndex + i) % len(f.runners)
		r := &f.runners[k]
		if !r.Accepting || f.runningPerEndpoint[r.ID] >= f.runningLimit || (!onlyAvoided && c.Avoids(r.ID)) {
			continue
		}
		if best < 0 || f.endpointLess(r, &f.runners[best]) {
			best = k
		}
		if f.endpointLess == nil {
			break
		}
	}
	if best < 0 {
		return "", false
	}
	f.nextIndex = best + 1
	return f.runners[best].ID, true
}

// recordRunning records that a call runs at an endpoint.
func (f *Fifo) recordRunning(c core.Call, ep core.EndpointID, generated core.Tokens) {
	f.running[c.ID] = &runningCall{ep: ep, heldTokens: c.PromptTokens + generated, call: c}
	f.runningPerEndpoint[ep]++
}

// refusal returns the action that refuses a call.
func refusal(id core.RequestID, kind core.ErrorKind, message string) core.Action {
	return core.Action{Kind: core.ActionRefuse, ID: id, Err: &core.Error{
		Kind: kind, Message: message, Remedy: "repeat the call after the time in retry_after_ms",
		Execution: core.NotExecuted, RetryAfter: retryAfter,
	}}
}
