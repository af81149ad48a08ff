package trial

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"snipeshed/core"
)

// Names of the ranks, the same for both workloads.
const (
	urgent     core.RankName = "urgent"
	background core.RankName = "background"
)

// workClass is a class of calls with log-normal prompt and output lengths.
type workClass struct {
	service core.ServiceName
	rank    core.RankName
	// share is the class's part of the arrivals; the shares of all classes of a workload add up to 1.
	share           float64
	promptMedian    float64 // tokens, without the prefixes that calls have in common
	outputMedian    float64 // tokens
	outputSigma     float64
	maxOutputTokens core.Tokens
}

// Workload describes the calls of one customer of the serving system, with several teams and their rules.
type Workload struct {
	Name       string
	classes    []workClass
	smallTeams int
	largeTeams int
	// largeShare is the fraction of the arrivals that come from large teams.
	largeShare float64
	rules      core.PolicyRules
	gapTarget  map[core.RankName]time.Duration
	timeout    map[core.RankName]time.Duration
}

// Each prompt starts with a prefix common to its service, followed by one common to its team and service.
const (
	servicePrefixTokens = 256
	teamPrefixTokens    = 256
	blockTokens         = 16
	promptSigma         = 0.5
)

// Workloads returns the two workloads of the benchmark.
func Workloads() []Workload {
	gaps := map[core.RankName]time.Duration{urgent: 31 * time.Millisecond, background: 62 * time.Millisecond}
	rules := func(urgentTarget time.Duration, floor int64) core.PolicyRules {
		return core.PolicyRules{Ranks: []core.RankRule{
			{Name: urgent, Priority: 10, FloorPercent: 20, FirstTokenTarget: urgentTarget, TokenGapTarget: gaps[urgent]},
			{Name: background, Priority: 0, FloorPercent: floor, FirstTokenTarget: 30 * time.Second, TokenGapTarget: gaps[background]},
		}}
	}
	timeouts := map[core.RankName]time.Duration{urgent: time.Minute, background: 10 * time.Minute}
	return []Workload{{
		Name: "kodusvahetus",
		classes: []workClass{
			{service: "tag", rank: urgent, share: 0.6, promptMedian: 150, outputMedian: 10, outputSigma: 0.6, maxOutputTokens: 64},
			{service: "proposal", rank: urgent, share: 0.15, promptMedian: 300, outputMedian: 400, outputSigma: 1.0, maxOutputTokens: 8192},
			{service: "exchange", rank: background, share: 0.25, promptMedian: 400, outputMedian: 600, outputSigma: 1.3, maxOutputTokens: 32768},
		},
		smallTeams: 20, largeTeams: 3, largeShare: 0.6,
		rules: rules(time.Second, 20), gapTarget: gaps, timeout: timeouts,
	}, {
		Name: "hashimoto",
		classes: []workClass{
			{service: "go-no-go", rank: urgent, share: 0.5, promptMedian: 400, outputMedian: 12, outputSigma: 0.8, maxOutputTokens: 256},
			{service: "survey", rank: urgent, share: 0.25, promptMedian: 600, outputMedian: 300, outputSigma: 1.0, maxOutputTokens: 8192},
			{service: "history", rank: background, share: 0.25, promptMedian: 400, outputMedian: 500, outputSigma: 1.4, maxOutputTokens: 32768},
		},
		smallTeams: 8, largeTeams: 2, largeShare: 0.6,
		rules: rules(500*time.Millisecond, 10), gapTarget: gaps, timeout: timeouts,
	}}
}

// Arrival is one call of a trace with its output length, which the policy does not see.
type Arrival struct {
	AfterMS int64       `json:"after_ms"`
	Call    core.Call   `json:"call"`
	Output  core.Tokens `json:"output"`
}

// callSource draws random calls of one workload.
type callSource struct {
	workload *Workload
	rng      *rand.Rand
	drawn    int
}

// draw returns a random call of one of the classes, weighted by share, and its output length. If large is set, the call
// comes from a large team.
func (s *callSource) draw(classes []workClass, large bool) (core.Call, core.Tokens) {
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
	team := fmt.Sprintf("small-%02d", s.rng.IntN(s.workload.smallTeams))
	if large || s.rng.Float64() < s.workload.largeShare {
		team = fmt.Sprintf("large-%02d", s.rng.IntN(s.workload.largeTeams))
	}
	s.drawn++
	ownPromptTokens := s.logNormal(c.promptMedian, promptSigma)
	output := min(max(core.Tokens(s.logNormal(c.outputMedian, c.outputSigma)), 2), c.maxOutputTokens)
	return core.Call{
		ID: core.RequestID(fmt.Sprintf("r%06d", s.drawn)), Service: c.service, Team: core.TeamName(team), Rank: c.rank,
		PromptTokens: servicePrefixTokens + teamPrefixTokens + core.Tokens(ownPromptTokens), MaxTokens: c.maxOutputTokens,
		Prefixes: commonPrefixHashes(string(c.service), team),
	}, output
}

func (s *callSource) logNormal(median, sigma float64) float64 {
	return median * math.Exp(sigma*s.rng.NormFloat64())
}

// commonPrefixHashes returns the block hashes of the prefixes that a prompt has in common with others of its team and service.
func commonPrefixHashes(service, team string) []uint64 {
	const blocks = (servicePrefixTokens + teamPrefixTokens) / blockTokens
	out := make([]uint64, blocks)
	h := hash(0, service)
	for i := range out {
		if i == servicePrefixTokens/blockTokens {
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

// phase is a time span with Poisson arrivals at loadFactor times the fleet's capacity. Phases may overlap.
type phase struct {
	from, to   time.Duration
	loadFactor float64
	// rank limits the phase to calls of one rank from large teams; empty means all classes and teams.
	rank core.RankName
}

// newTrace draws the arrivals of all phases in time order.
func (w *Workload) newTrace(seed uint64, fleet Fleet, phases []phase) []Arrival {
	var out []Arrival
	s := &callSource{workload: w, rng: rand.New(rand.NewPCG(seed, 0))}
	type phaseSource struct {
		phase
		classes []workClass
		rate    float64
		at      time.Duration
	}
	var sources []*phaseSource
	for _, p := range phases {
		n := &phaseSource{phase: p, classes: w.classesOf(p.rank), at: p.from}
		n.rate = p.loadFactor * w.callsPerSecond(fleet, n.classes)
		sources = append(sources, n)
	}
	for {
		var earliest *phaseSource
		for _, n := range sources {
			if n.at < n.to && (earliest == nil || n.at < earliest.at) {
				earliest = n
			}
		}
		if earliest == nil {
			return out
		}
		c, output := s.draw(earliest.classes, earliest.rank != "")
		out = append(out, Arrival{AfterMS: earliest.at.Milliseconds(), Call: c, Output: output})
		earliest.at += time.Duration(s.rng.ExpFloat64() / earliest.rate * float64(time.Second))
	}
}

func (w *Workload) classesOf(r core.RankName) []workClass {
	var out []workClass
	for _, c := range w.classes {
		if r == "" || c.rank == r {
			out = append(out, c)
		}
	}
	return out
}
