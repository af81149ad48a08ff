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
	defaultTeamSharePercent = 50 // of a pool's memory
	// defaultReservePercent is the share of an endpoint's memory that each rank leaves free for each rank above it, so that
	// an urgent call need not wait for a less urgent one to end: without a reserve, up to 8% of the urgent calls are refused
	// in a flood of background work.
	defaultReservePercent = 8
	// promptCostDivisor makes a prompt token cost a quarter of an output token in the teams' counters, because engines
	// compute the tokens of a prompt in parallel and output tokens one step at a time.
	promptCostDivisor = 4
	// maxTeamsTried limits the number of teams of a rank whose first call is tried in one round.
	maxTeamsTried = 8
	// maxOpeningTime bounds the time before an endpoint's first report that does not count as waiting. A refused caller would
	// come back after as long, to the same owner.
	maxOpeningTime = minRetryAfter
)

// Queue is the default core.Policy; it is not safe for concurrent use.
type Queue struct {
	teamSharePercent int64
	reservePercent   int64
	lengthOpts       []length.Option
	fairOpts         []fair.Option
	admitOpts        []admit.Option

	length *length.Predictor
	fair   *fair.Scheduler
	admit  *admit.Controller

	ranks      map[core.RankName]*rank
	byPriority []*rank // highest priority first
	waiting    map[core.RequestID]*call
	running    map[core.RequestID]*call
	poolSize   int       // number of endpoints, accepting or not
	accepting  bool      // any endpoint accepts calls
	waitsFrom  time.Time // earlier waiting does not count; zero before the first endpoint is known

	teamsBuf []core.TeamName   // reused buffer
	held     []core.EndpointID // endpoints held for calls that don't fit yet
}

var _ core.Policy = (*Queue)(nil)

// Option configures a Queue.
type Option func(*Queue)

// WithTeamSharePercent sets the maximum share of the pool's memory for one team while other teams wait.
func WithTeamSharePercent(n int64) Option { return func(q *Queue) { q.teamSharePercent = n } }

// WithReservePercent sets the share of memory that each rank leaves free for each rank above it.
func WithReservePercent(n int64) Option { return func(q *Queue) { q.reservePercent = n } }

// WithAdmitOptions passes options to the admission controller.
func WithAdmitOptions(opts ...admit.Option) Option {
	return func(q *Queue) { q.admitOpts = append(q.admitOpts, opts...) }
}

// WithFairOptions passes options to the fair scheduler.
func WithFairOptions(opts ...fair.Option) Option {
	return func(q *Queue) { q.fairOpts = append(q.fairOpts, opts...) }
}

// WithLengthOptions passes options to the predictor of output lengths.
func WithLengthOptions(opts ...length.Option) Option {
	return func(q *Queue) { q.lengthOpts = append(q.lengthOpts, opts...) }
}

// New returns a Queue without endpoints and rules.
func New(opts ...Option) *Queue {
	q := &Queue{
		teamSharePercent: defaultTeamSharePercent, reservePercent: defaultReservePercent,
		ranks: map[core.RankName]*rank{}, waiting: map[core.RequestID]*call{}, running: map[core.RequestID]*call{},
	}
	for _, o := range opts {
		o(q)
	}
	q.length = length.New(q.lengthOpts...)
	q.fair = fair.New(q.fairOpts...)
	q.admit = admit.New(q.length, q.admitOpts...)
	return q
}

// Offer starts, queues or refuses a call.
func (q *Queue) Offer(now time.Time, in core.Call) []core.Action {
	c := &call{Call: in, arrived: now}
	r := q.rankFor(c.Rank)
	switch {
	case q.waiting[c.ID] != nil || q.running[c.ID] != nil:
		return []core.Action{refusal(c.ID, core.KindBadRequest, fmt.Sprintf("request id %q is already in the pool", c.ID), 0)}
	case !now.Before(c.deadlineOrLast()):
		return []core.Action{refusal(c.ID, core.KindDeadline, "the deadline had passed on arrival", r.expectedWait(now, 0))}
	case q.poolSize == 0:
		return []core.Action{refusal(c.ID, core.KindNoEndpoint, "the pool has no endpoint", 0)}
	case !q.admit.MayFit(&c.Call):
		return []core.Action{refusal(c.ID, core.KindBadRequest, fmt.Sprintf("a prompt of %d tokens exceeds the memory of every endpoint", c.PromptTokens), 0)}
	}
	wait := r.expectedWait(now, len(r.teams[c.Team]))
	q.enqueue(now, r, c)
	acts := q.dispatch(now, nil)
	if q.waiting[c.ID] == nil {
		return acts
	}
	if c.PreviouslyQueued {
		return acts
	}
	if limit := q.arrivalWaitLimit(now, r, c); limit > 0 && wait > limit {
		q.removeWaiting(now, r, c)
		return append(acts, refusal(c.ID, core.KindOverloaded, overloadMessage(r, wait, limit), wait-limit))
	}
	if r.waiting > r.queueLimit() {
		acts = append(acts, q.shedOne(now, r, c))
	}
	return acts
}

// shedOne refuses the last call in the queue of the team with the most waiting calls for its weight, so that a large team
// cannot fill the rank's queue at the cost of others. When all calls of that team were already queued by a former owner,
// the arriving call is refused.
func (q *Queue) shedOne(now time.Time, r *rank, arriving *call) core.Action {
	name, n := r.longestQueue(q.fair.Weight)
	c := arriving
	for _, o := range slices.Backward(r.teams[name]) {
		if !o.PreviouslyQueued {
			c = o
			break
		}
	}
	wait := r.expectedWait(now, n-1)
	q.removeWaiting(now, r, c)
	return refusal(c.ID, core.KindOverloaded, fmt.Sprintf("the queue of rank %q holds its limit of %d calls and this team has the most waiting", r.rule.Name, r.queueLimit()), wait)
}

// Adopt takes over a call that already runs at an endpoint.
func (q *Queue) Adopt(now time.Time, in core.Call, ep core.EndpointID, generated core.Tokens) {
	if q.running[in.ID] != nil {
		return
	}
	c := &call{Call: in, arrived: now, started: now, generated: generated, adopted: true}
	q.rankFor(c.Rank).running++
	q.running[c.ID] = c
	q.admit.Adopt(in, ep, generated)
	c.expectedLeft = q.length.Expected(&c.Call, generated)
	c.progress = q.length.StartProgress(now, &c.Call)
	c.progress.Advance(now, generated)
	q.fair.Adopt(c.Rank, c.Team, 0, c.expectedLeft)
}

// RecordTokens records that a running call has generated n tokens in all.
func (q *Queue) RecordTokens(now time.Time, id core.RequestID, n core.Tokens) {
	c := q.running[id]
	if c == nil || n <= c.generated {
		return
	}
	if c.generated == 0 && !c.adopted {
		q.rankFor(c.Rank).firstTokenDelay.record(now, now.Sub(c.started))
	}
	more := n - c.generated
	expected := min(more, c.expectedLeft)
	q.fair.RecordOutput(c.Rank, more)
	q.fair.Charge(c.Team, c.teamCost(now, more, expected), -expected)
	c.expectedLeft -= expected
	c.generated = n
	c.progress.Advance(now, n)
	q.admit.RecordTokens(now, id, n)
}

// RecordCached records how many prompt tokens of a running call the engine had in its cache.
func (q *Queue) RecordCached(_ time.Time, id core.RequestID, n core.Tokens) {
	q.admit.RecordCached(id, n)
}

// RecordPreemption records that an engine preempted a running call.
func (q *Queue) RecordPreemption(_ time.Time, id core.RequestID) { q.admit.RecordPreemption(id) }

// Finish records that a running call ended and starts waiting calls that now fit.
func (q *Queue) Finish(now time.Time, id core.RequestID, complete bool) []core.Action {
	c := q.running[id]
	if c == nil {
		return nil
	}
	delete(q.running, id)
	q.rankFor(c.Rank).running--
	q.admit.Finish(id)
	q.fair.Finish(c.Rank, c.Team, c.expectedLeft)
	if complete {
		c.progress.Complete(now, c.generated)
	}
	return q.dispatch(now, nil)
}

// Cancel removes a waiting call and starts others that now fit.
func (q *Queue) Cancel(now time.Time, id core.RequestID) []core.Action {
	c := q.waiting[id]
	if c == nil {
		return nil
	}
	q.removeWaiting(now, q.rankFor(c.Rank), c)
	return q.dispatch(now, nil)
}

// SetRunners replaces the endpoints and starts waiting calls that now fit.
func (q *Queue) SetRunners(now time.Time, runners []core.RunnerInfo) []core.Action {
	q.poolSize = len(runners)
	q.admit.SetRunners(runners)
	q.updateOpening(now)
	if accepting := q.admit.Capacity() > 0; accepting != q.accepting {
		q.accepting = accepting
		for _, r := range q.byPriority {
			r.setAccepting(now, accepting)
		}
	}
	return q.dispatch(now, nil)
}

// SetRules replaces the rules; a rank that is no longer named keeps its last rule while it has calls.
func (q *Queue) SetRules(now time.Time, rules core.PolicyRules) []core.Action {
	q.fair.SetRules(rules)
	q.admit.SetRules(rules)
	named := map[core.RankName]bool{}
	for _, rule := range rules.Ranks {
		named[rule.Name] = true
		q.rankFor(rule.Name).rule = rule
	}
	q.byPriority = slices.DeleteFunc(q.byPriority, func(r *rank) bool {
		gone := !named[r.rule.Name] && r.waiting == 0 && r.running == 0
		if gone {
			delete(q.ranks, r.rule.Name)
		}
		return gone
	})
	q.sortRanks()
	return q.dispatch(now, nil)
}

// updateOpening sets waitsFrom to the end of the time in which the pool has endpoints and none has reported that it accepts calls.
func (q *Queue) updateOpening(now time.Time) {
	if q.waitsFrom.IsZero() && q.poolSize > 0 {
		q.waitsFrom = now.Add(maxOpeningTime)
	}
	if q.admit.Capacity() > 0 && now.Before(q.waitsFrom) {
		q.waitsFrom = now
	}
}

// waited returns how long a call has waited. An instance that has just become the owner of a pool waits for the first reports,
// which says nothing about the load.
func (q *Queue) waited(now time.Time, c *call) time.Duration {
	if c.arrived.Before(q.waitsFrom) {
		return now.Sub(q.waitsFrom)
	}
	return now.Sub(c.arrived)
}

// Tick refuses calls that have waited too long and starts waiting calls that fit.
func (q *Queue) Tick(now time.Time) []core.Action {
	var acts []core.Action
	q.fair.Decay(now)
	for _, r := range q.byPriority {
		for _, c := range q.overdue(now, r) {
			wait := q.waited(now, c)
			kind, text := core.KindOverloaded, overloadMessage(r, wait, q.waitLimit(now, r, c))
			if !now.Before(c.deadlineOrLast()) {
				kind, text = core.KindDeadline, "the deadline passed while the call waited"
			}
			acts = append(acts, refusal(c.ID, kind, text, r.expectedWait(now, 0)))
			q.removeWaiting(now, r, c)
		}
	}
	return q.dispatch(now, acts)
}

// overdue returns the waiting calls of a rank that are past their deadline or wait limit, in order of arrival.
func (q *Queue) overdue(now time.Time, r *rank) []*call {
	var out []*call
	for _, cs := range r.teams {
		for _, c := range cs {
			if limit := q.waitLimit(now, r, c); !now.Before(c.deadlineOrLast()) || (limit > 0 && q.waited(now, c) > limit) {
				out = append(out, c)
			}
		}
	}
	slices.SortFunc(out, func(a, b *call) int { return cmp.Or(a.arrived.Compare(b.arrived), cmp.Compare(a.ID, b.ID)) })
	return out
}

// arrivalWaitLimit returns the expected wait beyond which a call is refused on arrival, 0 for none.
//
// Below the top rank only the call's own deadline counts: the expected wait is that of an average call, but the team
// with the least service is served long before that. If these ranks also refused calls by their target, small teams
// would lose more of their calls under overload, and there would be fewer waiting calls to choose from.
func (q *Queue) arrivalWaitLimit(now time.Time, r *rank, c *call) time.Duration {
	switch {
	case q.isTopRank(r):
		return q.waitLimit(now, r, c)
	case c.Deadline.IsZero():
		return 0
	}
	return c.Deadline.Sub(c.arrived)
}

// waitLimit returns the longest time for which a call may wait, given by its deadline or by the rank's first-token
// target, whichever is earlier; 0 means that there is no limit but the deadline.
func (q *Queue) waitLimit(now time.Time, r *rank, c *call) time.Duration {
	if c.PreviouslyQueued {
		return 0
	}
	limit := r.targetWaitLimit(now)
	if !c.Deadline.IsZero() {
		if d := c.Deadline.Sub(c.arrived); limit == 0 || d < limit {
			limit = d
		}
	}
	return limit
}

// Load returns the load of the ranks and endpoints of the pool.
func (q *Queue) Load(now time.Time) core.PoolLoad {
	l := core.PoolLoad{Endpoints: q.admit.Loads()}
	for _, r := range q.byPriority {
		wait := r.expectedWait(now, 0)
		limit := time.Duration(0)
		if q.isTopRank(r) {
			limit = r.targetWaitLimit(now)
		}
		_, most := r.longestQueue(q.fair.Weight)
		// A rank counts as shedding only when a team without waiting calls would be refused too.
		shedding := (limit > 0 && wait > limit) || (r.waiting >= r.queueLimit() && most <= 1)
		l.Ranks = append(l.Ranks, core.RankLoad{Rank: r.rule.Name, Waiting: r.waiting, ExpectedWait: wait, Shedding: shedding})
	}
	return l
}

// enqueue adds a call to the queue of its rank and team.
func (q *Queue) enqueue(now time.Time, r *rank, c *call) {
	q.waiting[c.ID] = c
	r.insert(now, c)
	q.fair.Enqueue(c.Rank, c.Team)
}

// removeWaiting removes a waiting call that will not be started.
func (q *Queue) removeWaiting(now time.Time, r *rank, c *call) {
	delete(q.waiting, c.ID)
	r.remove(now, c)
	q.fair.Dequeue(c.Rank, c.Team)
}

// rankFor returns the queue of a rank and creates it if there is none; a rank without a rule gets priority 0.
func (q *Queue) rankFor(name core.RankName) *rank {
	r := q.ranks[name]
	if r == nil {
		r = newRank(core.RankRule{Name: name})
		r.accepting = q.accepting
		q.ranks[name] = r
		q.byPriority = append(q.byPriority, r)
		q.sortRanks()
	}
	return r
}

// isTopRank reports whether no rank has a higher priority.
func (q *Queue) isTopRank(r *rank) bool { return r.rule.Priority == q.byPriority[0].rule.Priority }

// sortRanks sorts the ranks by priority, highest first.
func (q *Queue) sortRanks() {
	slices.SortStableFunc(q.byPriority, func(a, b *rank) int { return cmp.Compare(b.rule.Priority, a.rule.Priority) })
}
