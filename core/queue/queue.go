package queue

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"snipeshed/core"
	"snipeshed/core/admit"
	"snipeshed/core/fair"
	"snipeshed/core/length"
)

const percent = 100

const (
	defaultTeamSharePercent = 50
	// defaultReservePercent lets an urgent call start without waiting for a less urgent one to end; with 0, 2 to 8% of
	// the urgent calls were refused in a flood of background work, with 5 up to 2% at twice the capacity.
	defaultReservePercent = 8
	// promptDivisor makes a prompt token cost a quarter of an output token in the teams' counters:
	// engines compute prompts in parallel and outputs one step at a time.
	promptDivisor = 4
	// maxTeamsTried limits the heads of teams' queues that are tried when those before don't fit.
	maxTeamsTried = 8
)

// Queue is the chosen policy; it is not safe for concurrent use.
type Queue struct {
	teamShare int64
	reserve   int64
	lengthOpt []length.Option
	fairOpt   []fair.Option
	admitOpt  []admit.Option

	length *length.Length
	fair   *fair.Fair
	admit  *admit.Controller

	ranks   map[core.RankName]*rank
	order   []*rank // the highest priority first
	calls   map[core.RequestID]*call
	running map[core.RequestID]*call
	pool    int // endpoints, accepting or not
	open    bool

	names []core.TeamName
	held  []core.EndpointID
}

var _ core.Policy = (*Queue)(nil)

// Option changes a Queue.
type Option func(*Queue)

// WithTeamSharePercent sets the largest share of the pool's memory for one team while others wait.
func WithTeamSharePercent(n int64) Option { return func(q *Queue) { q.teamShare = n } }

// WithReservePercent sets the share of memory that each rank leaves free for each rank above it.
func WithReservePercent(n int64) Option { return func(q *Queue) { q.reserve = n } }

// WithAdmit passes options to the Admit.
func WithAdmit(opts ...admit.Option) Option {
	return func(q *Queue) { q.admitOpt = append(q.admitOpt, opts...) }
}

// WithFair passes options to the Fair.
func WithFair(opts ...fair.Option) Option {
	return func(q *Queue) { q.fairOpt = append(q.fairOpt, opts...) }
}

// WithLength passes options to the Length.
func WithLength(opts ...length.Option) Option {
	return func(q *Queue) { q.lengthOpt = append(q.lengthOpt, opts...) }
}

// New returns a Queue without endpoints and rules.
func New(opts ...Option) *Queue {
	q := &Queue{
		teamShare: defaultTeamSharePercent, reserve: defaultReservePercent,
		ranks: map[core.RankName]*rank{}, calls: map[core.RequestID]*call{}, running: map[core.RequestID]*call{},
	}
	for _, o := range opts {
		o(q)
	}
	q.length = length.New(q.lengthOpt...)
	q.fair = fair.New(q.fairOpt...)
	q.admit = admit.New(q.length, q.admitOpt...)
	return q
}

// Offer starts, queues or refuses a call.
func (q *Queue) Offer(now time.Time, in core.Call) []core.Action {
	c := &call{Call: in, arrived: now}
	r := q.rank(c.Rank)
	switch {
	case q.calls[c.ID] != nil || q.running[c.ID] != nil:
		return []core.Action{refusal(c.ID, core.KindBadRequest, fmt.Sprintf("request id %q is already in the pool", c.ID), 0)}
	case !now.Before(c.due()):
		return []core.Action{refusal(c.ID, core.KindDeadline, "the deadline had passed on arrival", r.wait(now, 0))}
	case q.pool == 0:
		return []core.Action{refusal(c.ID, core.KindNoEndpoint, "the pool has no endpoint", 0)}
	case !q.admit.MayFit(&c.Call):
		return []core.Action{refusal(c.ID, core.KindBadRequest, fmt.Sprintf("a prompt of %d tokens exceeds the memory of every endpoint", c.PromptTokens), 0)}
	}
	wait := r.wait(now, len(r.teams[c.Team]))
	q.enqueue(now, r, c)
	acts := q.dispatch(now, nil)
	if q.calls[c.ID] == nil {
		return acts
	}
	if c.Admitted {
		return acts
	}
	if limit := q.arrivalLimit(now, r, c); limit > 0 && wait > limit {
		q.drop(now, r, c)
		return append(acts, refusal(c.ID, core.KindOverloaded, overload(r, wait, limit), wait-limit))
	}
	if r.waiting > r.limit() {
		acts = append(acts, q.shed(now, r, c))
	}
	return acts
}

// shed refuses the newest call of the team with the longest queue, so that a large team cannot fill the queue for the
// others. When all calls of that team were admitted elsewhere, the arriving call is refused.
func (q *Queue) shed(now time.Time, r *rank, arriving *call) core.Action {
	name, n := r.longest(q.fair.Weight)
	c := arriving
	for _, o := range slices.Backward(r.teams[name]) {
		if !o.Admitted {
			c = o
			break
		}
	}
	wait := r.wait(now, n-1)
	q.drop(now, r, c)
	return refusal(c.ID, core.KindOverloaded, fmt.Sprintf("the queue of rank %q holds its limit of %d calls and this team has the most waiting", r.rule.Name, r.limit()), wait)
}

// Adopt counts a call that already runs at an endpoint.
func (q *Queue) Adopt(now time.Time, in core.Call, ep core.EndpointID, generated core.Tokens) {
	if q.running[in.ID] != nil {
		return
	}
	c := &call{Call: in, arrived: now, started: now, generated: generated, adopted: true}
	q.rank(c.Rank).running++
	q.running[c.ID] = c
	q.admit.Adopt(in, ep, generated)
	c.expected = q.length.Expected(&c.Call, generated)
	c.progress = q.length.Start(now, &c.Call)
	c.progress.Reach(now, generated)
	q.fair.Adopt(c.Rank, c.Team, 0, c.expected)
}

// Token records a running call's progress.
func (q *Queue) Token(now time.Time, id core.RequestID, n core.Tokens) {
	c := q.running[id]
	if c == nil || n <= c.generated {
		return
	}
	if c.generated == 0 && !c.adopted {
		q.rank(c.Rank).first.add(now, now.Sub(c.started))
	}
	more := n - c.generated
	came := min(more, c.expected)
	q.fair.Serve(c.Rank, more)
	q.fair.Charge(c.Team, c.charge(now, more, came), -came)
	c.expected -= came
	c.generated = n
	c.progress.Reach(now, n)
	q.admit.RecordTokens(now, id, n)
}

// Cached records the cached part of a running call's prompt.
func (q *Queue) Cached(_ time.Time, id core.RequestID, n core.Tokens) { q.admit.RecordCached(id, n) }

// Preempted records that an engine pushed a running call out.
func (q *Queue) Preempted(_ time.Time, id core.RequestID) { q.admit.RecordPreemption(id) }

// Finish ends a running call and starts what waits.
func (q *Queue) Finish(now time.Time, id core.RequestID, complete bool) []core.Action {
	c := q.running[id]
	if c == nil {
		return nil
	}
	delete(q.running, id)
	q.rank(c.Rank).running--
	q.admit.Finish(id)
	q.fair.Finish(c.Rank, c.Team, c.expected)
	if complete {
		c.progress.End(now, c.generated)
	}
	return q.dispatch(now, nil)
}

// Cancel withdraws a waiting call.
func (q *Queue) Cancel(now time.Time, id core.RequestID) []core.Action {
	c := q.calls[id]
	if c == nil {
		return nil
	}
	q.drop(now, q.rank(c.Rank), c)
	return q.dispatch(now, nil)
}

// SetRunners replaces the endpoints.
func (q *Queue) SetRunners(now time.Time, runners []core.RunnerInfo) []core.Action {
	q.pool = len(runners)
	q.admit.SetRunners(runners)
	if open := q.admit.Capacity() > 0; open != q.open {
		q.open = open
		for _, r := range q.order {
			r.setOpen(now, open)
		}
	}
	return q.dispatch(now, nil)
}

// SetRules replaces the rules; ranks that still have calls stay with their last rule.
func (q *Queue) SetRules(now time.Time, rules core.PolicyRules) []core.Action {
	q.fair.SetRules(rules)
	q.admit.SetRules(rules)
	named := map[core.RankName]bool{}
	for _, rule := range rules.Ranks {
		named[rule.Name] = true
		q.rank(rule.Name).rule = rule
	}
	q.order = slices.DeleteFunc(q.order, func(r *rank) bool {
		gone := !named[r.rule.Name] && r.waiting == 0 && r.running == 0
		if gone {
			delete(q.ranks, r.rule.Name)
		}
		return gone
	})
	q.sort()
	return q.dispatch(now, nil)
}

// Tick refuses calls that waited too long and starts what fits.
func (q *Queue) Tick(now time.Time) []core.Action {
	var acts []core.Action
	q.fair.Age(now)
	for _, r := range q.order {
		for _, c := range q.late(now, r) {
			wait := now.Sub(c.arrived)
			kind, text := core.KindOverloaded, overload(r, wait, q.limitOf(now, r, c))
			if !now.Before(c.due()) {
				kind, text = core.KindDeadline, "the deadline passed while the call waited"
			}
			acts = append(acts, refusal(c.ID, kind, text, r.wait(now, 0)))
			q.drop(now, r, c)
		}
	}
	return q.dispatch(now, acts)
}

// late returns the waiting calls of a rank that can no longer be served in time, in order of arrival.
func (q *Queue) late(now time.Time, r *rank) []*call {
	var out []*call
	for _, cs := range r.teams {
		for _, c := range cs {
			if limit := q.limitOf(now, r, c); !now.Before(c.due()) || (limit > 0 && now.Sub(c.arrived) > limit) {
				out = append(out, c)
			}
		}
	}
	slices.SortFunc(out, func(a, b *call) int { return cmp.Or(a.arrived.Compare(b.arrived), cmp.Compare(a.ID, b.ID)) })
	return out
}

// arrivalLimit returns the expected wait beyond which a call is refused on arrival, 0 for none.
//
// Below the top rank only the call's own deadline counts: the expected wait is that of an average call, and the team
// that is furthest behind is served long before. Refused by it, small teams lost 1 to 2% more of their calls at twice
// the capacity, and engines had fewer calls to choose from.
func (q *Queue) arrivalLimit(now time.Time, r *rank, c *call) time.Duration {
	switch {
	case q.top(r):
		return q.limitOf(now, r, c)
	case c.Deadline.IsZero():
		return 0
	}
	return c.Deadline.Sub(c.arrived)
}

// limitOf returns the longest wait of a call, its deadline or the rank's first-token target, whichever is earlier;
// 0 means that only the deadline ends the wait.
func (q *Queue) limitOf(now time.Time, r *rank, c *call) time.Duration {
	if c.Admitted {
		return 0
	}
	limit := r.patience(now)
	if !c.Deadline.IsZero() {
		if d := c.Deadline.Sub(c.arrived); limit == 0 || d < limit {
			limit = d
		}
	}
	return limit
}

// Load returns the pool's load.
func (q *Queue) Load(now time.Time) core.PoolLoad {
	l := core.PoolLoad{Endpoints: q.admit.Loads()}
	for _, r := range q.order {
		wait := r.wait(now, 0)
		limit := time.Duration(0)
		if q.top(r) {
			limit = r.patience(now)
		}
		_, most := r.longest(q.fair.Weight)
		// A rank sheds only when a team without waiting calls would be refused too.
		shedding := (limit > 0 && wait > limit) || (r.waiting >= r.limit() && most <= 1)
		l.Ranks = append(l.Ranks, core.RankLoad{Rank: r.rule.Name, Waiting: r.waiting, ExpectedWait: wait, Shedding: shedding})
	}
	return l
}

func (q *Queue) enqueue(now time.Time, r *rank, c *call) {
	q.calls[c.ID] = c
	r.push(now, c)
	q.fair.Enqueue(c.Rank, c.Team)
}

// drop removes a waiting call that will not run.
func (q *Queue) drop(now time.Time, r *rank, c *call) {
	delete(q.calls, c.ID)
	r.pop(now, c)
	q.fair.Dequeue(c.Rank, c.Team)
}

// rank returns the queue of a rank; a rank without a rule is the least urgent.
func (q *Queue) rank(name core.RankName) *rank {
	r := q.ranks[name]
	if r == nil {
		r = newRank(core.RankRule{Name: name})
		r.open = q.open
		q.ranks[name] = r
		q.order = append(q.order, r)
		q.sort()
	}
	return r
}

// top reports whether no rank is more urgent.
func (q *Queue) top(r *rank) bool { return r.rule.Priority == q.order[0].rule.Priority }

func (q *Queue) sort() {
	slices.SortStableFunc(q.order, func(a, b *rank) int { return cmp.Compare(b.rule.Priority, a.rule.Priority) })
}
