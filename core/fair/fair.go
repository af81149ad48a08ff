package fair

import (
	"cmp"
	"math"
	"slices"
	"time"

	"snipeshed/core"
)

const (
	// defaultHorizon is the number of tokens per running call over which a rank's deficit is made good.
	// A shorter one starts more calls for the same deficit and then overshoots the floor.
	defaultHorizon = 100
	// maxDebt limits how far service above the floor delays the floor later on. In a flood of 90 s a rank that had used
	// idle capacity got 94.3% of its floor with 512 tokens, 95.6% with 256 and 96.9% with 128; without any debt it gets
	// more than 5% above the floor when calls are long.
	maxDebt = 128 // tokens
	// maxDeficit limits how long a rank is preferred after it could not be served.
	maxDeficit = 16384 // tokens
)

const (
	percent = 100
	// counterHalfLife lets a team's lead be forgotten: what it got while capacity was free must not keep it out for minutes
	// afterwards. Without it the smallest team at twice the capacity got 2% less.
	counterHalfLife = time.Minute
)

// Fair keeps virtual counters of teams and deficits of ranks; it is not safe for concurrent use.
//
// A team has one counter for all ranks: what a large team got in an urgent rank counts when it competes in another.
type Fair struct {
	horizon float64
	ranks   map[core.RankName]*rank
	teams   map[core.TeamName]*team
	weights map[core.TeamName]int64
	running int
	active  int64 // counts the times that a team became active
	// virtual is the highest lowest counter seen; it stands for the active teams when there are none.
	virtual float64
	aged    time.Time
}

type rank struct {
	name    core.RankName
	floor   float64
	teams   map[core.TeamName]int // waiting calls
	waiting int
	running int
	// deficit is the number of tokens that the rank is below its floor.
	deficit float64
}

type team struct {
	// counter is the number of tokens served, divided by the weight; old ones count less.
	counter float64
	// expected is the number of tokens that the running calls will still get, divided by the weight. It orders the
	// teams but is no part of the counter: newcomers start at counters, and must not start above work that may never come.
	expected float64
	waiting  int
	running  int
	since    int64 // when it became active, as a count
}

// Option changes a Fair.
type Option func(*Fair)

// WithHorizon sets the number of tokens per running call over which a rank's deficit is made good.
func WithHorizon(tokens int) Option { return func(f *Fair) { f.horizon = float64(tokens) } }

// New returns a Fair without ranks or teams.
func New(opts ...Option) *Fair {
	f := &Fair{horizon: defaultHorizon, ranks: map[core.RankName]*rank{}, teams: map[core.TeamName]*team{}}
	for _, o := range opts {
		o(f)
	}
	return f
}

// SetRules replaces floors and weights and forgets idle teams that the rules don't name.
func (f *Fair) SetRules(rules core.PolicyRules) {
	f.weights = rules.TeamWeights
	for name, t := range f.teams {
		if _, known := f.weights[name]; !known && t.waiting == 0 && t.running == 0 {
			delete(f.teams, name)
		}
	}
	for _, r := range f.ranks {
		r.floor = 0
	}
	for _, rule := range rules.Ranks {
		f.rank(rule.Name).floor = float64(rule.FloorPercent) / percent
	}
}

// Enqueue records that a team has one more waiting call; a team that had none gets no credit for its idle time.
func (f *Fair) Enqueue(rn core.RankName, tn core.TeamName) {
	r, t := f.rank(rn), f.team(tn)
	if t.waiting == 0 {
		t.counter = max(t.counter, f.lowest())
		f.active++
		t.since = f.active
	}
	t.waiting++
	r.teams[tn]++
	r.waiting++
}

// Dequeue records that a waiting call left without being started.
func (f *Fair) Dequeue(rn core.RankName, tn core.TeamName) {
	r := f.rank(rn)
	f.team(tn).waiting--
	if r.teams[tn]--; r.teams[tn] == 0 {
		delete(r.teams, tn)
	}
	r.waiting--
}

// Start records that a waiting call was started; cost is what it has used already, expected what it will still use.
func (f *Fair) Start(rn core.RankName, tn core.TeamName, cost, expected core.Tokens) {
	f.virtual = max(f.virtual, f.lowest())
	f.Dequeue(rn, tn)
	f.Adopt(rn, tn, cost, expected)
}

// Adopt records a running call that was not queued here.
func (f *Fair) Adopt(rn core.RankName, tn core.TeamName, cost, expected core.Tokens) {
	f.rank(rn).running++
	f.team(tn).running++
	f.running++
	f.Charge(tn, float64(cost), expected)
}

// Finish records that a running call ended of which expected tokens were still to come.
func (f *Fair) Finish(rn core.RankName, tn core.TeamName, expected core.Tokens) {
	f.rank(rn).running--
	f.team(tn).running--
	f.running--
	f.Charge(tn, 0, -expected)
}

// Charge adds weighted tokens that a team has used, and changes what its running calls will still use.
func (f *Fair) Charge(tn core.TeamName, cost float64, expected core.Tokens) {
	t := f.team(tn)
	w := f.Weight(tn)
	t.counter += cost / w
	t.expected = max(t.expected+float64(expected)/w, 0)
}

// Age lets the counters and thereby the differences between teams decay up to now.
func (f *Fair) Age(now time.Time) {
	if !f.aged.IsZero() && now.After(f.aged) {
		keep := math.Exp2(-now.Sub(f.aged).Seconds() / counterHalfLife.Seconds())
		f.virtual *= keep
		for _, t := range f.teams {
			t.counter *= keep
		}
	}
	if now.After(f.aged) {
		f.aged = now
	}
}

// Serve records n tokens of output of a rank and moves every rank's deficit.
func (f *Fair) Serve(rn core.RankName, n core.Tokens) {
	f.rank(rn)
	for _, r := range f.ranks {
		r.deficit += r.floor * float64(n)
		if r.name == rn {
			r.deficit -= float64(n)
		}
		limit := float64(maxDeficit)
		if r.waiting == 0 {
			// A rank without waiting work earns no claim for later.
			limit = 0
		}
		r.deficit = min(max(r.deficit, -maxDebt), limit)
	}
}

// BelowFloor reports whether a rank with waiting work gets less than its floor, counting what its running calls will produce.
func (f *Fair) BelowFloor(rn core.RankName) bool {
	r := f.ranks[rn]
	if r == nil || r.floor == 0 || r.waiting == 0 {
		return false
	}
	return r.deficit+f.horizon*(r.floor*float64(f.running+1)-float64(r.running)) > 0
}

// Teams appends a rank's teams with waiting calls to buf, the one with the least service and expected service first.
func (f *Fair) Teams(rn core.RankName, buf []core.TeamName) []core.TeamName {
	r := f.ranks[rn]
	if r == nil {
		return buf
	}
	from := len(buf)
	for tn := range r.teams {
		buf = append(buf, tn)
	}
	slices.SortFunc(buf[from:], func(a, b core.TeamName) int {
		// Teams that became active one after another share the lowest counter and are served in that order.
		x, y := f.teams[a], f.teams[b]
		return cmp.Or(cmp.Compare(x.counter+x.expected, y.counter+y.expected), cmp.Compare(x.since, y.since))
	})
	return buf
}

// Counter returns a team's virtual counter.
func (f *Fair) Counter(tn core.TeamName) float64 { return f.team(tn).counter }

// Weight returns a team's weight, 1 when the rules give none.
func (f *Fair) Weight(tn core.TeamName) float64 {
	if w := f.weights[tn]; w > 0 {
		return float64(w)
	}
	return 1
}

func (f *Fair) rank(name core.RankName) *rank {
	r := f.ranks[name]
	if r == nil {
		r = &rank{name: name, teams: map[core.TeamName]int{}}
		f.ranks[name] = r
	}
	return r
}

func (f *Fair) team(name core.TeamName) *team {
	t := f.teams[name]
	if t == nil {
		t = &team{}
		f.teams[name] = t
	}
	return t
}

// lowest returns the lowest counter among the teams with waiting calls, or else among those with running calls.
func (f *Fair) lowest() float64 {
	var waiting, running *team
	for _, t := range f.teams {
		if t.waiting > 0 && (waiting == nil || t.counter < waiting.counter) {
			waiting = t
		}
		if t.running > 0 && (running == nil || t.counter < running.counter) {
			running = t
		}
	}
	switch {
	case waiting != nil:
		return waiting.counter
	case running != nil:
		return running.counter
	}
	return f.virtual
}
