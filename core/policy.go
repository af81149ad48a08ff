package core

import (
	"slices"
	"time"
)

// Call is a generation that waits for an engine.
type Call struct {
	ID           RequestID
	Service      ServiceName
	Team         TeamName
	Rank         RankName
	PromptTokens Tokens
	MaxTokens    Tokens
	// Prefixes are hashes of growing prefixes of the prompt, for the choice by cached prefix.
	Prefixes []uint64
	Deadline time.Time
	// Avoid lists endpoints that already failed this call.
	Avoid []EndpointID
	// Admitted tells that an owner that has left had queued the call: it waits until its deadline and is not refused for
	// overload, because a planned stop ends no request.
	Admitted bool
}

// Avoids reports whether an endpoint already failed this call.
func (c *Call) Avoids(ep EndpointID) bool { return slices.Contains(c.Avoid, ep) }

// RankRule is the part of a rank's settings that the policy needs.
type RankRule struct {
	Name             RankName
	Priority         int64
	FloorPercent     int64
	QueueLimit       int
	FirstTokenTarget time.Duration
	// TokenGapTarget is the longest wanted time between two tokens of a stream; 0 means none.
	TokenGapTarget time.Duration
}

// PolicyRules are the rules in force.
type PolicyRules struct {
	Ranks       []RankRule
	TeamWeights map[TeamName]int64
}

// RunnerInfo describes one endpoint of a pool.
type RunnerInfo struct {
	ID         EndpointID
	KVCapacity Tokens
	// Accepting is false for an endpoint that is leaving, suspect or not loaded.
	Accepting bool
	// Load is the endpoint's last report; it lags.
	Load RunnerLoad
	// Reported is when that report came; it is zero when other owners cannot have calls at the endpoint.
	Reported time.Time
}

// ActionKind says what to do with a call.
type ActionKind int

// Kinds of actions.
const (
	// ActionStart sends the call to Action.Endpoint.
	ActionStart ActionKind = iota
	// ActionRefuse tells the client that the call was not run.
	ActionRefuse
)

// Action is a decision of a policy.
type Action struct {
	Kind     ActionKind
	ID       RequestID
	Endpoint EndpointID
	// Err is the refusal of an ActionRefuse.
	Err *Error
}

// RankLoad is the load of one rank in a pool.
type RankLoad struct {
	Rank         RankName      `json:"rank"`
	Waiting      int           `json:"waiting"`
	ExpectedWait time.Duration `json:"expected_wait_ns"`
	Shedding     bool          `json:"shedding"`
}

// EndpointLoad is what the policy believes of one endpoint.
type EndpointLoad struct {
	ID       EndpointID `json:"id"`
	Running  int        `json:"running"`
	Forecast Tokens     `json:"forecast_tokens"`
	Held     Tokens     `json:"held_tokens"`
}

// PoolLoad is the load of a pool; it rides back on answers.
type PoolLoad struct {
	Ranks     []RankLoad     `json:"ranks"`
	Endpoints []EndpointLoad `json:"endpoints,omitempty"`
}

// Policy decides for one pool which call runs where and when; it is not safe for concurrent use.
type Policy interface {
	// Offer takes a new call; its decision is among the actions or comes later.
	Offer(now time.Time, c Call) []Action
	// Adopt takes a call that already runs at an endpoint with some tokens generated.
	Adopt(now time.Time, c Call, ep EndpointID, generated Tokens)
	// Token records that a running call has generated n tokens in all.
	Token(now time.Time, id RequestID, n Tokens)
	// Cached records how many prompt tokens the engine had in its cache.
	Cached(now time.Time, id RequestID, n Tokens)
	// Preempted records that the engine pushed a running call out.
	Preempted(now time.Time, id RequestID)
	// Finish records that a running call ended; complete is false when it did not reach its own end.
	Finish(now time.Time, id RequestID, complete bool) []Action
	// Cancel withdraws a waiting call.
	Cancel(now time.Time, id RequestID) []Action
	// SetRunners replaces the endpoints of the pool.
	SetRunners(now time.Time, runners []RunnerInfo) []Action
	// SetRules replaces the rules.
	SetRules(now time.Time, rules PolicyRules) []Action
	// Tick refuses calls whose deadline has passed and retries what waits.
	Tick(now time.Time) []Action
	// Load returns the pool's load.
	Load(now time.Time) PoolLoad
}
