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

// retryAfter is fixed because this baseline estimates no waiting times.
const retryAfter = time.Second

// Fifo is a core.Policy that serves calls in order of arrival, round robin over endpoints with a free slot.
type Fifo struct {
	runningLimit int
	queueLimit   int
	less         func(a, b *core.RunnerInfo) bool

	queue   []core.Call
	runners []core.RunnerInfo
	next    int
	running map[core.RequestID]*running
	perEnd  map[core.EndpointID]int
	rules   core.PolicyRules
}

type running struct {
	ep   core.EndpointID
	held core.Tokens
	call core.Call
}

var _ core.Policy = (*Fifo)(nil)

// Option changes a Fifo.
type Option func(*Fifo)

// WithRunningLimit sets the largest number of running calls per endpoint.
func WithRunningLimit(n int) Option { return func(f *Fifo) { f.runningLimit = n } }

// WithQueueLimit sets the largest number of waiting calls.
func WithQueueLimit(n int) Option { return func(f *Fifo) { f.queueLimit = n } }

// WithOrder replaces round robin: the least endpoint with a free slot is taken.
func WithOrder(less func(a, b *core.RunnerInfo) bool) Option { return func(f *Fifo) { f.less = less } }

// New returns a Fifo without endpoints.
func New(opts ...Option) *Fifo {
	f := &Fifo{
		runningLimit: defaultRunningLimit,
		queueLimit:   defaultQueueLimit,
		running:      map[core.RequestID]*running{},
		perEnd:       map[core.EndpointID]int{},
	}
	for _, o := range opts {
		o(f)
	}
	return f
}

// Offer starts, queues or refuses a call.
func (f *Fifo) Offer(now time.Time, c core.Call) []core.Action {
	if len(f.queue) >= f.queueLimit {
		return []core.Action{refuse(c.ID, core.KindOverloaded, "the pool's queue is full")}
	}
	f.queue = append(f.queue, c)
	return f.dispatch(now, nil)
}

// Adopt counts a call that already runs.
func (f *Fifo) Adopt(_ time.Time, c core.Call, ep core.EndpointID, generated core.Tokens) {
	f.run(c, ep, generated)
}

// Token records the length of a running call for Load.
func (f *Fifo) Token(_ time.Time, id core.RequestID, n core.Tokens) {
	if r := f.running[id]; r != nil {
		r.held = r.call.PromptTokens + n
	}
}

// Cached is ignored.
func (f *Fifo) Cached(time.Time, core.RequestID, core.Tokens) {}

// Preempted is ignored.
func (f *Fifo) Preempted(time.Time, core.RequestID) {}

// Finish frees a slot and starts what waits.
func (f *Fifo) Finish(now time.Time, id core.RequestID, _ bool) []core.Action {
	r := f.running[id]
	if r == nil {
		return nil
	}
	delete(f.running, id)
	f.perEnd[r.ep]--
	return f.dispatch(now, nil)
}

// Cancel removes a waiting call.
func (f *Fifo) Cancel(now time.Time, id core.RequestID) []core.Action {
	f.queue = slices.DeleteFunc(f.queue, func(c core.Call) bool { return c.ID == id })
	return f.dispatch(now, nil)
}

// SetRunners replaces the endpoints; running calls keep their slots.
func (f *Fifo) SetRunners(now time.Time, runners []core.RunnerInfo) []core.Action {
	f.runners = slices.Clone(runners)
	return f.dispatch(now, nil)
}

// SetRules keeps the ranks for Load; the order of service ignores them.
func (f *Fifo) SetRules(_ time.Time, rules core.PolicyRules) []core.Action {
	f.rules = rules
	return nil
}

// Tick refuses calls whose deadline has passed.
func (f *Fifo) Tick(now time.Time) []core.Action {
	var acts []core.Action
	f.queue = slices.DeleteFunc(f.queue, func(c core.Call) bool {
		late := !c.Deadline.IsZero() && !now.Before(c.Deadline)
		if late {
			acts = append(acts, refuse(c.ID, core.KindDeadline, "the deadline passed while the call waited"))
		}
		return late
	})
	return f.dispatch(now, acts)
}

// Load returns waiting and running calls; it estimates no waiting times.
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
		held[r.ep] += r.held
	}
	for _, r := range f.runners {
		l.Endpoints = append(l.Endpoints, core.EndpointLoad{ID: r.ID, Running: f.perEnd[r.ID], Held: held[r.ID], Forecast: held[r.ID]})
	}
	return l
}

// dispatch starts the head of the queue until no endpoint has a free slot for it.
func (f *Fifo) dispatch(_ time.Time, acts []core.Action) []core.Action {
	for len(f.queue) > 0 {
		ep, ok := f.pick(&f.queue[0])
		if !ok {
			break
		}
		c := f.queue[0]
		f.queue = f.queue[1:]
		f.run(c, ep, 0)
		acts = append(acts, core.Action{Kind: core.ActionStart, ID: c.ID, Endpoint: ep})
	}
	return acts
}

// pick returns the next endpoint with a free slot; one that failed the call is taken only when no other accepts.
func (f *Fifo) pick(c *core.Call) (core.EndpointID, bool) {
	onlyAvoided := true
	for i := range f.runners {
		if f.runners[i].Accepting && !c.Avoids(f.runners[i].ID) {
			onlyAvoided = false
		}
	}
	best := -1
	for i := range f.runners {
		k := (f.next + i) % len(f.runners)
		r := &f.runners[k]
		if !r.Accepting || f.perEnd[r.ID] >= f.runningLimit || (!onlyAvoided && c.Avoids(r.ID)) {
			continue
		}
		if best < 0 || f.less(r, &f.runners[best]) {
			best = k
		}
		if f.less == nil {
			break
		}
	}
	if best < 0 {
		return "", false
	}
	f.next = best + 1
	return f.runners[best].ID, true
}

func (f *Fifo) run(c core.Call, ep core.EndpointID, generated core.Tokens) {
	f.running[c.ID] = &running{ep: ep, held: c.PromptTokens + generated, call: c}
	f.perEnd[ep]++
}

func refuse(id core.RequestID, kind core.Kind, message string) core.Action {
	return core.Action{Kind: core.ActionRefuse, ID: id, Err: &core.Error{
		Kind: kind, Message: message, Remedy: "repeat the call after the time in retry_after_ms",
		Run: core.RunNot, RetryAfter: retryAfter,
	}}
}
