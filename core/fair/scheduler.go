package fair

import (
	"cmp"
	"math"
	"slices"
	"time"

	"snipeshed/core"
)

const (
	// defaultHorizonTokens is the number of tokens per running call within which a rank's deficit is to be made up. A
	// shorter horizon starts more calls for the same deficit and then overshoots the floor.
	defaultHorizonTokens = 100
	// maxSurplus limits the surplus above a rank's floor that is set off against its floor later on. A larger value
	// lets a rank that has used idle capacity fall further short of its floor in a flood. With 0, a rank gets more
	// than 5% above its floor when calls are long.
	maxSurplus = 128 // tokens
	// maxDeficit limits for how long a rank is preferred after it could not be served.
	maxDeficit = 16384 // tokens
)

const (
	percent = 100
	// counterHalfLife makes the teams' counters decay: tokens that a team got while capacity was free must not keep it
	// from being served for minutes afterwards.
	counterHalfLife = time.Minute
)

// Scheduler is a fair scheduler with virtual token counters of teams and deficits of ranks; it is not safe for
// concurrent use.
//
// A team has one counter for all ranks: what a large team got in an urgent rank also counts in the other ranks.
type Scheduler struct {
	horizonTokens float64
	ranks         map[core.RankName]*rank
	teams         map[core.TeamName]*team
	weights       map[core.TeamName]int64
	running       int
	activations   int64 // number of times that a team became active
	// virtualTime is the maximum over time of the lowest counter among active teams. A team that becomes active while no
	// other team is active starts at it.
	virtualTime float64
	decayedAt   time.Time // last decay
}

// rank is the state of one rank.
type rank struct {
	name       core.RankName
	floorShare float64               // minimum share of the output, 0 to 1
	teams      map[core.TeamName]int // waiting calls
	waiting    int
	running    int
	// deficit is the number of tokens that the rank is below its floor.
	deficit float64
}

// team is the state of one team.
type team struct {
	// counter is the number of tokens served, divided by the weight; it decays with time.
	counter float64
	// expectedOutput is the number of tokens that the running calls are expected to generate, divided by the weight.
	// Teams are ordered by the sum of both. It is not part of the counter because a team that becomes active starts at
	// the lowest counter, which must not include tokens that may never be generated.
	expectedOutput float64
	waiting        int
	running        int
	activation     int64 // value of Scheduler.activations when the team became active
}

// Option configures a Scheduler.
type Option func(*Scheduler)

// WithHorizon sets the number of tokens per running call within which a rank's deficit is to be made up.
func WithHorizon(tokens int) Option { return func(s *Scheduler) { s.horizonTokens = float64(tokens) } }

// New returns a Scheduler without ranks or teams.
func New(opts ...Option) *Scheduler {
	s := &Scheduler{horizonTokens: defaultHorizonTokens, ranks: map[core.RankName]*rank{}, teams: map[core.TeamName]*team{}}
	for _, o := range opts {
		o(s)
	}
	return s
}

// SetRules replaces floors and weights and removes idle teams that the rules don't name.
func (s *Scheduler) SetRules(rules core.PolicyRules) {
	s.weights = rules.TeamWeights
	for name, t := range s.teams {
		if _, known := s.weights[name]; !known && t.waiting == 0 && t.running == 0 {
			delete(s.teams, name)
		}
	}
	for _, r := range s.ranks {
		r.floorShare = 0
	}
	for _, rule := range rules.Ranks {
		s.rankFor(rule.Name).floorShare = float64(rule.FloorPercent) / percent
	}
}

// Enqueue records a new waiting call of a team; a team that had none waiting gets no credit for its idle time.
func (s *Scheduler) Enqueue(rn core.RankName, tn core.TeamName) {
	r, t := s.rankFor(rn), s.teamFor(tn)
	if t.waiting == 0 {
		t.counter = max(t.counter, s.lowestCounter())
		s.activations++
		t.activation = s.activations
	}
	t.waiting++
	r.teams[tn]++
	r.waiting++
}

// Dequeue records that a waiting call was removed without being started.
func (s *Scheduler) Dequeue(rn core.RankName, tn core.TeamName) {
	r := s.rankFor(rn)
	s.teamFor(tn).waiting--
	if r.teams[tn]--; r.teams[tn] == 0 {
		delete(r.teams, tn)
	}
	r.waiting--
}

// Start records that a waiting call was started; cost is charged at once, and expected is the expected output.
func (s *Scheduler) Start(rn core.RankName, tn core.TeamName, cost, expected core.Tokens) {
	s.virtualTime = max(s.virtualTime, s.lowestCounter())
	s.Dequeue(rn, tn)
	s.Adopt(rn, tn, cost, expected)
}

// Adopt records a running call that was not enqueued before.
func (s *Scheduler) Adopt(rn core.RankName, tn core.TeamName, cost, expected core.Tokens) {
	s.rankFor(rn).running++
	s.teamFor(tn).running++
	s.running++
	s.Charge(tn, float64(cost), expected)
}

// Finish records that a running call ended, of which expected tokens had not been generated yet.
func (s *Scheduler) Finish(rn core.RankName, tn core.TeamName, expected core.Tokens) {
	s.rankFor(rn).running--
	s.teamFor(tn).running--
	s.running--
	s.Charge(tn, 0, -expected)
}

// Charge adds a cost to a team's counter and changes the expected output of its running calls, both divided by its
// weight.
func (s *Scheduler) Charge(tn core.TeamName, cost float64, expected core.Tokens) {
	t := s.teamFor(tn)
	w := s.Weight(tn)
	t.counter += cost / w
	t.expectedOutput = max(t.expectedOutput+float64(expected)/w, 0)
}

// Decay makes the counters, and thereby the differences between teams, decay up to now.
func (s *Scheduler) Decay(now time.Time) {
	if !s.decayedAt.IsZero() && now.After(s.decayedAt) {
		keep := math.Exp2(-now.Sub(s.decayedAt).Seconds() / counterHalfLife.Seconds())
		s.virtualTime *= keep
		for _, t := range s.teams {
			t.counter *= keep
		}
	}
	if now.After(s.decayedAt) {
		s.decayedAt = now
	}
}

// RecordOutput records n output tokens of a rank and updates the deficit of every rank.
func (s *Scheduler) RecordOutput(rn core.RankName, n core.Tokens) {
	s.rankFor(rn)
	for _, r := range s.ranks {
		r.deficit += r.floorShare * float64(n)
		if r.name == rn {
			r.deficit -= float64(n)
		}
		limit := float64(maxDeficit)
		if r.waiting == 0 {
			// A rank without waiting calls accumulates no deficit.
			limit = 0
		}
		r.deficit = min(max(r.deficit, -maxSurplus), limit)
	}
}

// BelowFloor reports whether a rank with waiting calls gets less than its floor, including the expected output of its
// running calls within the horizon.
func (s *Scheduler) BelowFloor(rn core.RankName) bool {
	r := s.ranks[rn]
	if r == nil || r.floorShare == 0 || r.waiting == 0 {
		return false
	}
	return r.deficit+s.horizonTokens*(r.floorShare*float64(s.running+1)-float64(r.running)) > 0
}

// AppendTeamsByService appends a rank's teams with waiting calls to buf, in the order of received and expected service,
// least first.
func (s *Scheduler) AppendTeamsByService(rn core.RankName, buf []core.TeamName) []core.TeamName {
	r := s.ranks[rn]
	if r == nil {
		return buf
	}
	from := len(buf)
	for tn := range r.teams {
		buf = append(buf, tn)
	}
	slices.SortFunc(buf[from:], func(a, b core.TeamName) int {
		// Teams that became active one after another may have the same counter; they are served in that order.
		x, y := s.teams[a], s.teams[b]
		return cmp.Or(cmp.Compare(x.counter+x.expectedOutput, y.counter+y.expectedOutput), cmp.Compare(x.activation, y.activation))
	})
	return buf
}

// Counter returns a team's virtual counter.
func (s *Scheduler) Counter(tn core.TeamName) float64 { return s.teamFor(tn).counter }

// Weight returns a team's weight, 1 when the rules give none.
func (s *Scheduler) Weight(tn core.TeamName) float64 {
	if w := s.weights[tn]; w > 0 {
		return float64(w)
	}
	return 1
}

// rankFor returns the state of a rank and creates it if there is none.
func (s *Scheduler) rankFor(name core.RankName) *rank {
	r := s.ranks[name]
	if r == nil {
		r = &rank{name: name, teams: map[core.TeamName]int{}}
		s.ranks[name] = r
	}
	return r
}

// teamFor returns the state of a team and creates it if there is none.
func (s *Scheduler) teamFor(name core.TeamName) *team {
	t := s.teams[name]
	if t == nil {
		t = &team{}
		s.teams[name] = t
	}
	return t
}

// lowestCounter returns the lowest counter among the teams with waiting calls, or else among those with running calls,
// or else the virtual time.
func (s *Scheduler) lowestCounter() float64 {
	var waiting, running *team
	for _, t := range s.teams {
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
	return s.virtualTime
}
