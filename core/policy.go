package core

import (
	"slices"
	"time"
)

// Call is a request for a generation as a pool's policy sees it.
type Call struct {
	ID           RequestID
	Service      ServiceName
	Team         TeamName
	Rank         RankName
	PromptTokens Tokens
	MaxTokens    Tokens
	// Prefixes holds hashes of growing prefixes of the prompt; they match the call to engines that cache a prefix of it.
	Prefixes []uint64
	Deadline time.Time
	// Avoid lists endpoints that already failed this call.
	Avoid []EndpointID
	// PreviouslyQueued reports whether a former owner of the pool had already queued the call, or may have run it. Such a call
	// waits until its deadline and is not refused for overload, because a planned stop of an instance must not end any request.
	PreviouslyQueued bool
}

// Avoids reports whether an endpoint already failed this call.
func (c *Call) Avoids(ep EndpointID) bool { return slices.Contains(c.Avoid, ep) }

// RankRule holds the settings of a rank that the policy needs.
type RankRule struct {
	Name             RankName
	Priority         int64
	FloorPercent     int64
	QueueLimit       int
	FirstTokenTarget time.Duration
	// TokenGapTarget is the target for the longest time between two tokens of a stream; 0 means none.
	TokenGapTarget time.Duration
}

// PolicyRules holds the current settings of ranks and teams.
type PolicyRules struct {
	Ranks       []RankRule
	TeamWeights map[TeamName]int64
}

// RunnerInfo describes one endpoint of a pool.
type RunnerInfo struct {
	ID         EndpointID
	KVCapacity Tokens
	// Accepting is false for an endpoint that is leaving, suspected of a failure or has not loaded its model.
	Accepting bool
	// Load is the endpoint's last report; it lags behind the actual load.
	Load RunnerLoad
	// ReportedAt is the arrival time of that report; it is zero when other owners cannot have calls at the endpoint.
	ReportedAt time.Time
}

// ActionKind states what to do with a call.
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

// EndpointLoad is the policy's estimate of the load of one endpoint.
type EndpointLoad struct {
	ID       EndpointID `json:"id"`
	Running  int        `json:"running"`
	Forecast Tokens     `json:"forecast_tokens"`
	Held     Tokens     `json:"held_tokens"`
}

// PoolLoad is the load of a pool; it is piggybacked on answers.
type PoolLoad struct {
	Ranks     []RankLoad     `json:"ranks"`
	Endpoints []EndpointLoad `json:"endpoints,omitempty"`
}

// Policy schedules the calls of one pool onto its endpoints; it is not safe for concurrent use.
type Policy interface {
	// Offer submits a new call; the decision on it is among the returned actions or those of a later method call.
	Offer(now time.Time, c Call) []Action
	// Adopt takes over a call that already runs at an endpoint and has generated some tokens.
	Adopt(now time.Time, c Call, ep EndpointID, generated Tokens)
	// RecordTokens records that a running call has generated n tokens in all.
	RecordTokens(now time.Time, id RequestID, n Tokens)
	// RecordCached records how many prompt tokens the engine had in its cache.
	RecordCached(now time.Time, id RequestID, n Tokens)
	// RecordPreemption records that the engine preempted a running call.
	RecordPreemption(now time.Time, id RequestID)
	// Finish records that a running call ended; complete is false when it was cut off before it generated all its output.
	Finish(now time.Time, id RequestID, complete bool) []Action
	// Cancel withdraws a waiting call.
	Cancel(now time.Time, id RequestID) []Action
	// SetRunners replaces the endpoints of the pool.
	SetRunners(now time.Time, runners []RunnerInfo) []Action
	// SetRules replaces the rules.
	SetRules(now time.Time, rules PolicyRules) []Action
	// Tick refuses calls that have waited too long and tries again to start the waiting ones.
	Tick(now time.Time) []Action
	// Load returns the pool's load.
	Load(now time.Time) PoolLoad
}
