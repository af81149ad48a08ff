package trial

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"snipeshed/core"
)

// Names of the two ranks of both users.
const (
	urgent     core.RankName = "urgent"
	background core.RankName = "background"
)

// class is one kind of work; prompts and outputs are log-normal.
type class struct {
	service core.ServiceName
	rank    core.RankName
	// share of the arrivals in the usual mix.
	share        float64
	promptMedian float64 // tokens that the call shares with no other
	outputMedian float64
	outputSigma  float64
	outputMax    core.Tokens
}

// User is one user's workload.
type User struct {
	Name       string
	classes    []class
	smallTeams int
	largeTeams int
	// largeShare is the part of the arrivals that comes from the large teams.
	largeShare float64
	rules      core.PolicyRules
	gapTarget  map[core.RankName]time.Duration
	timeout    map[core.RankName]time.Duration
}

// Prompts start with parts that a service and a team have in common.
const (
	servicePrefix = 256 // tokens
	teamPrefix    = 256 // tokens
	blockTokens   = 16
	promptSigma   = 0.5
)

// Users returns the two workloads that policies are measured with.
func Users() []User {
	gaps := map[core.RankName]time.Duration{urgent: 31 * time.Millisecond, background: 62 * time.Millisecond}
	rules := func(urgentTarget time.Duration, floor int64) core.PolicyRules {
		return core.PolicyRules{Ranks: []core.RankRule{
			{Name: urgent, Priority: 10, FloorPercent: 20, FirstTokenTarget: urgentTarget, TokenGapTarget: gaps[urgent]},
			{Name: background, Priority: 0, FloorPercent: floor, FirstTokenTarget: 30 * time.Second, TokenGapTarget: gaps[background]},
		}}
	}
	timeouts := map[core.RankName]time.Duration{urgent: time.Minute, background: 10 * time.Minute}
	return []User{{
		Name: "kodusvahetus",
		classes: []class{
			{service: "tag", rank: urgent, share: 0.6, promptMedian: 150, outputMedian: 10, outputSigma: 0.6, outputMax: 64},
			{service: "proposal", rank: urgent, share: 0.15, promptMedian: 300, outputMedian: 400, outputSigma: 1.0, outputMax: 8192},
			{service: "exchange", rank: background, share: 0.25, promptMedian: 400, outputMedian: 600, outputSigma: 1.3, outputMax: 32768},
		},
		smallTeams: 20, largeTeams: 3, largeShare: 0.6,
		rules: rules(time.Second, 20), gapTarget: gaps, timeout: timeouts,
	}, {
		Name: "hashimoto",
		classes: []class{
			{service: "go-no-go", rank: urgent, share: 0.5, promptMedian: 400, outputMedian: 12, outputSigma: 0.8, outputMax: 256},
			{service: "survey", rank: urgent, share: 0.25, promptMedian: 600, outputMedian: 300, outputSigma: 1.0, outputMax: 8192},
			{service: "history", rank: background, share: 0.25, promptMedian: 400, outputMedian: 500, outputSigma: 1.4, outputMax: 32768},
		},
		smallTeams: 8, largeTeams: 2, largeShare: 0.6,
		rules: rules(500*time.Millisecond, 10), gapTarget: gaps, timeout: timeouts,
	}}
}

// Arrival is one call of a trace with the output length that the policy does not see.
type Arrival struct {
	AfterMS int64       `json:"after_ms"`
	Call    core.Call   `json:"call"`
	Output  core.Tokens `json:"output"`
}

// source draws calls of one user.
type source struct {
	user *User
	rng  *rand.Rand
	n    int
}

// draw returns a call of one of the classes; only large teams send it when large is set.
func (s *source) draw(classes []class, large bool) (core.Call, core.Tokens) {
	total := 0.0
	for _, c := range classes {
		total += c.share
	}
	x := s.rng.Float64() * total
	k := 0
	for ; k < len(classes)-1 && x >= classes[k].share; k++ {
		x -= classes[k].share
	}
	c := classes[k]
	team := fmt.Sprintf("small-%02d", s.rng.IntN(s.user.smallTeams))
	if large || s.rng.Float64() < s.user.largeShare {
		team = fmt.Sprintf("large-%02d", s.rng.IntN(s.user.largeTeams))
	}
	s.n++
	own := s.logNormal(c.promptMedian, promptSigma)
	output := min(max(core.Tokens(s.logNormal(c.outputMedian, c.outputSigma)), 2), c.outputMax)
	return core.Call{
		ID: core.RequestID(fmt.Sprintf("r%06d", s.n)), Service: c.service, Team: core.TeamName(team), Rank: c.rank,
		PromptTokens: servicePrefix + teamPrefix + core.Tokens(own), MaxTokens: c.outputMax,
		Prefixes: prefixes(string(c.service), team),
	}, output
}

func (s *source) logNormal(median, sigma float64) float64 {
	return median * math.Exp(sigma*s.rng.NormFloat64())
}

// prefixes returns the block hashes of the common part of a prompt.
func prefixes(service, team string) []uint64 {
	const blocks = (servicePrefix + teamPrefix) / blockTokens
	out := make([]uint64, blocks)
	h := hash(0, service)
	for i := range out {
		if i == servicePrefix/blockTokens {
			h = hash(h, team)
		}
		h = hash(h, "block")
		out[i] = h
	}
	return out
}

func hash(h uint64, s string) uint64 {
	const prime = 1099511628211
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * prime
	}
	return h ^ h>>29 + prime
}

// phase adds arrivals at a multiple of the capacity for some time.
type phase struct {
	from, to time.Duration
	load     float64
	// rank limits the phase to one rank of the large teams; empty is the usual mix of all.
	rank core.RankName
}

// trace draws the arrivals of all phases in order of time.
func (u *User) trace(seed uint64, fleet Fleet, phases []phase) []Arrival {
	var out []Arrival
	s := &source{user: u, rng: rand.New(rand.NewPCG(seed, 0))}
	type next struct {
		phase
		classes []class
		rate    float64
		at      time.Duration
	}
	var ns []*next
	for _, p := range phases {
		n := &next{phase: p, classes: u.only(p.rank), at: p.from}
		n.rate = p.load * u.capacity(fleet, n.classes)
		ns = append(ns, n)
	}
	for {
		var first *next
		for _, n := range ns {
			if n.at < n.to && (first == nil || n.at < first.at) {
				first = n
			}
		}
		if first == nil {
			return out
		}
		c, output := s.draw(first.classes, first.rank != "")
		out = append(out, Arrival{AfterMS: first.at.Milliseconds(), Call: c, Output: output})
		first.at += time.Duration(s.rng.ExpFloat64() / first.rate * float64(time.Second))
	}
}

func (u *User) only(r core.RankName) []class {
	var out []class
	for _, c := range u.classes {
		if r == "" || c.rank == r {
			out = append(out, c)
		}
	}
	return out
}
