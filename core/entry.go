package core

import (
	"net/http"
	"time"
)

// AttemptID identifies one attempt of a caller; each retry by the caller has its own id.
type AttemptID string

// RouteKind states whether calls of a route may be retried.
type RouteKind int

// Values of RouteKind.
const (
	// KindProtected calls run at most once.
	KindProtected RouteKind = iota
	// KindIdempotent calls may run more than once.
	KindIdempotent
	// KindStream calls are answered with a stream of events and run at most once unless the route is resumable.
	KindStream
)

// RouteTarget is a service that receives a weighted share of a route's calls.
type RouteTarget struct {
	Service ServiceName
	Weight  int
}

// Route maps a host and path prefix to target services.
type Route struct {
	Name      string
	Host      string
	Prefix    string
	Kind      RouteKind
	Resumable bool
	Anonymous bool
	// Rank orders routes by urgency; 0 is the most urgent.
	Rank        int
	Timeout     time.Duration
	Objective   time.Duration
	Pause       time.Duration // longest time between two events of an answer that still meets the objective
	MaxAttempts int
	Targets     []RouteTarget
}

// Repeatable reports whether a call of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || (r.Kind == KindStream && r.Resumable)
}

// EngineLimits describes the capacity and abilities of the model engines of a service.
type EngineLimits struct {
	Slots    int
	Capacity Tokens // memory of one engine
	// HoldTime is the longest time for which an engine keeps memory reserved.
	HoldTime time.Duration
	Moves    bool // running generations can be moved
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
	Backups     bool // engines can replicate the growing memory of a generation to a second engine
	// TokenBytes and LinkMbps determine how long copying a generation's memory takes.
	TokenBytes int64
	LinkMbps   float64
}

// TokensPerSecond returns the rate at which an engine can copy memory to another one.
func (l *EngineLimits) TokensPerSecond() float64 {
	const bitsPerByte, megabit = 8, 1e6
	return l.LinkMbps * megabit / bitsPerByte / float64(max(l.TokenBytes, 1))
}

// Service is a set of interchangeable endpoints.
type Service struct {
	Name           ServiceName
	MaxConnections int
	Engine         *EngineLimits // nil for plain services
}

// CallerLimits bounds the size and duration of a caller's requests.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Team is a team and its keys.
type Team struct {
	Name TeamName
	Keys []string
	// Rank takes precedence over the rank of a route when it is set.
	Rank *int
}

// Rules is one version of the routing configuration that operators write.
type Rules struct {
	Version  Version
	Routes   []Route
	Services map[ServiceName]Service
	Limits   CallerLimits
	Teams    []Team
}

// Endpoint is the store's record of an endpoint.
type Endpoint struct {
	ID       EndpointID
	Service  ServiceName
	Address  string
	Domain   FailureDomain
	Slots    int
	Draining bool
	// Warmup is the remaining time for which the endpoint is slow after its start.
	Warmup time.Duration
	// Started is the start time in Unix ms; it tells successive processes with the same endpoint id apart.
	Started int64
}

// Inbound holds the decoded headers of a caller's request.
type Inbound struct {
	ID           AttemptID
	Deadline     time.Duration // 0 when the caller sets none
	Key          string
	Keys         int // number of key headers
	Model        ModelName
	PromptTokens Tokens
	MaxTokens    Tokens
	LengthHint   Tokens
	LastEvent    string
}

// Outbound holds the values of the headers that an entry adds to a request to an endpoint.
type Outbound struct {
	Left      time.Duration // time until the call's deadline
	Endpoint  EndpointID
	Team      TeamName
	Urgency   int
	Backup    string // address of the engine that keeps a replica of the generation's memory
	From      string // location of the generation's memory: address/handle
	LastEvent string
	Hold      string // id of the memory reservation for the call at the endpoint
}

// Reply holds the decoded headers of an endpoint's answer.
type Reply struct {
	ID AttemptID
	// NotRun reports whether the endpoint guarantees that it did not and will not run the call.
	NotRun bool
	// Misdirected reports whether another endpoint now has the address.
	Misdirected bool
	// Sealed reports whether the answer carries the endpoint's digest.
	Sealed bool
	// IdleTimeout is how long the endpoint keeps an idle connection open; 0 means unknown.
	IdleTimeout time.Duration
}

// Codec encodes and decodes the headers that callers, entries and endpoints exchange.
type Codec interface {
	// Inbound decodes the headers of a caller's request.
	Inbound(r *http.Request) Inbound
	// Outbound returns the headers of the request to an endpoint.
	Outbound(r *http.Request, out Outbound) http.Header
	// Reply decodes the headers of an endpoint's answer.
	Reply(resp *http.Response) Reply
	// Refusal sets the headers of an answer that snipeshed itself generates.
	Refusal(h http.Header, id AttemptID, retryAfter time.Duration)
}

// Moved is the result of copying a generation's memory.
type Moved struct {
	Handle string
	Events int // events generated when the copy was complete
}

// Report is the status that an engine reports.
type Report struct {
	Leaving bool
	Started int64 // start of the engine's process in Unix ms
}

// Mover moves running generations between engines and reserves memory at them.
type Mover interface {
	// Move copies the memory of a generation from one engine to another; final stops the generation first.
	Move(source, target Endpoint, id AttemptID, final bool) (Moved, error)
	// Stop is a final Move with a short timeout, for an engine that may be unreachable.
	Stop(source, target Endpoint, id AttemptID) (Moved, error)
	// Hold reserves memory for a call at an engine and returns the reservation's id; a *MoveError with status 503 means
	// that the engine has not enough free memory.
	Hold(e Endpoint, tokens Tokens, ttl time.Duration) (string, error)
	// Report requests an engine's status.
	Report(e Endpoint) (Report, error)
	// Drop frees a copy at both the engine that sent it and the one that received it.
	Drop(source, target Endpoint, handle string)
}

// Decoder reads the objects of the store.
type Decoder interface {
	// Rules decodes a configuration.
	Rules(raw []byte) (*Rules, error)
	// Endpoint decodes the record of an endpoint.
	Endpoint(id EndpointID, raw []byte) (Endpoint, error)
}
