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
	// RouteProtected calls run at most once.
	RouteProtected RouteKind = iota
	// RouteIdempotent calls may run more than once.
	RouteIdempotent
	// RouteStream calls are answered with a stream of events and run at most once unless the route is resumable.
	RouteStream
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
	Objective   time.Duration // target latency of an answer, for a stream that of its first event
	MaxEventGap time.Duration // longest time between two events of an answer that still meets the objective
	MaxAttempts int
	Targets     []RouteTarget
}

// Repeatable reports whether a call of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == RouteIdempotent || (r.Kind == RouteStream && r.Resumable)
}

// DefaultCallTimeout applies to the calls of a route that sets no timeout.
const DefaultCallTimeout = time.Minute

// CallTimeout returns the time that a call of the route has when the caller sets no deadline.
func (r *Route) CallTimeout() time.Duration {
	if r.Timeout <= 0 {
		return DefaultCallTimeout
	}
	return r.Timeout
}

// EngineLimits describes the capacity and abilities of the model engines of a service.
type EngineLimits struct {
	Slots    int
	Capacity Tokens // memory of one engine
	// MaxReservation is the longest time for which an engine keeps memory reserved.
	MaxReservation time.Duration
	CanMove        bool // running generations can be moved
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
	CanBackUp   bool // engines can replicate the growing memory of a generation to a second engine
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
	// ColdRate is the number of requests per second that an endpoint bears while it is cold; 0 means unknown.
	ColdRate float64
	// ColdStart is how long an endpoint is cold after it starts.
	ColdStart time.Duration
	Engine    *EngineLimits // nil for plain services
}

// CallerLimits bounds the size and duration of a caller's requests.
type CallerLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// DefaultBodyBytes is the size limit of bodies where the configuration sets none.
const DefaultBodyBytes = 4 << 20

// MaxBodyBytes returns the size of the largest body that a request may have.
func (l CallerLimits) MaxBodyBytes() int64 {
	if l.BodyBytes <= 0 {
		return DefaultBodyBytes
	}
	return l.BodyBytes
}

// Team is a team and its keys.
type Team struct {
	Name TeamName
	Keys []string
	// Rank takes precedence over the rank of a route when it is set.
	Rank *int
}

// RoutingConfig is one version of the routing configuration that operators write.
type RoutingConfig struct {
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

// Incarnation identifies one process among the successive ones with the same endpoint id.
type Incarnation struct {
	ID      EndpointID
	Started int64 // Unix ms; 0 means unknown
}

// Incarnation returns the process that the record describes.
func (e Endpoint) Incarnation() Incarnation { return Incarnation{ID: e.ID, Started: e.Started} }

// InboundHeaders holds the decoded headers of a caller's request.
type InboundHeaders struct {
	ID           AttemptID
	Deadline     time.Duration // 0 when the caller sets none
	Key          string
	KeyCount     int // number of key headers
	Model        ModelName
	PromptTokens Tokens
	PromptParts  []PromptPart // in order; the last belongs to this request or its session alone
	MaxTokens    Tokens
	LengthHint   Tokens
	LastEventID  string
}

// OutboundHeaders holds the values of the headers that an instance adds to a request to an endpoint.
type OutboundHeaders struct {
	TimeLeft      time.Duration // time until the call's deadline
	Endpoint      EndpointID
	Team          TeamName
	Urgency       int
	Backup        string // address of the engine that keeps a replica of the generation's memory
	MemorySource  string // location of the generation's memory: address/handle
	LastEventID   string
	ReservationID string // id of the memory reservation for the call at the endpoint
}

// ReplyHeaders holds the decoded headers of an endpoint's answer.
type ReplyHeaders struct {
	ID AttemptID
	// NotRun reports whether the endpoint guarantees that it did not and will not run the call.
	NotRun bool
	// Misdirected reports whether another endpoint now has the address.
	Misdirected bool
	// HasDigest reports whether the answer carries the endpoint's digest header; a successful answer without it does not count
	// as the result of the call.
	HasDigest bool
	// IdleTimeout is how long the endpoint keeps an idle connection open; 0 means unknown.
	IdleTimeout time.Duration
	// Leaving reports whether the endpoint says that it leaves.
	Leaving bool
	// RetryAfter is how long the endpoint, which turned the request away, wants no more requests; 0 if it did not say.
	RetryAfter time.Duration
}

// Codec encodes and decodes the headers that callers, instances and endpoints exchange.
type Codec interface {
	// DecodeRequest decodes the headers of a caller's request.
	DecodeRequest(r *http.Request) InboundHeaders
	// EncodeRequest returns the headers of the request to an endpoint.
	EncodeRequest(r *http.Request, out OutboundHeaders) http.Header
	// DecodeReply decodes the headers of an endpoint's answer.
	DecodeReply(resp *http.Response) ReplyHeaders
	// SetRefusalHeaders sets the headers of an answer that snipeshed itself generates.
	SetRefusalHeaders(h http.Header, id AttemptID, retryAfter time.Duration)
}

// MoveResult is the result of copying a generation's memory.
type MoveResult struct {
	Handle string // names the copy at the target engine
	Events int    // events generated when the copy was complete
}

// EngineStatus is the status that an engine reports.
type EngineStatus struct {
	Leaving bool
	Started int64 // start of the engine's process in Unix ms
}

// Mover moves running generations between engines and reserves memory at them.
type Mover interface {
	// Move copies the memory of a generation from one engine to another; final stops the generation first.
	Move(source, target Endpoint, id AttemptID, final bool) (MoveResult, error)
	// StopAndMove is a final Move with a short timeout, for an engine that may be unreachable.
	StopAndMove(source, target Endpoint, id AttemptID) (MoveResult, error)
	// ReserveMemory reserves memory for a call at an engine and returns the reservation's id; a *MoveError with status
	// 503 means that the engine has not enough free memory.
	ReserveMemory(e Endpoint, tokens Tokens, ttl time.Duration) (string, error)
	// EngineStatus requests the status of an engine.
	EngineStatus(e Endpoint) (EngineStatus, error)
	// FreeCopy frees a copy at both the engine that sent it and the one that received it.
	FreeCopy(source, target Endpoint, handle string)
}

// Decoder decodes the objects of the store.
type Decoder interface {
	// DecodeConfig decodes a routing configuration.
	DecodeConfig(raw []byte) (*RoutingConfig, error)
	// DecodeEndpoint decodes the record of an endpoint.
	DecodeEndpoint(id EndpointID, raw []byte) (Endpoint, error)
}
