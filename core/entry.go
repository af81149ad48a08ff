package core

import (
	"net/http"
	"time"
)

// AttemptID names one attempt of a caller; a caller's next attempt has another.
type AttemptID string

// RouteKind says what may be repeated on a route.
type RouteKind int

// Values of RouteKind.
const (
	// KindProtected calls run at most once.
	KindProtected RouteKind = iota
	// KindIdempotent calls may run more than once.
	KindIdempotent
	// KindStream calls answer with a stream of events and run at most once unless the route is resumable.
	KindStream
)

// RouteTarget is a service that takes a share of a route's calls.
type RouteTarget struct {
	Service ServiceName
	Weight  int
}

// Route says where the calls of a host and path prefix go.
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
	Pause       time.Duration // longest pause between two events of an answer that is still on time
	MaxAttempts int
	Targets     []RouteTarget
}

// Repeatable reports whether a call of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || (r.Kind == KindStream && r.Resumable)
}

// EngineLimits describes the model engines of a service.
type EngineLimits struct {
	Slots    int
	Capacity Tokens // memory of one engine
	// HoldTime is the longest time for which an engine holds room.
	HoldTime time.Duration
	Moves    bool // running generations can be moved
	// EventTokens is the number of tokens that one event of a stream holds.
	EventTokens int
	Backups     bool // engines can send the memory of a generation to a second engine as it grows
	// TokenBytes and LinkMbps give the time that a copy of a generation's memory takes.
	TokenBytes int64
	LinkMbps   float64
}

// TokensPerSecond returns the number of tokens whose memory an engine can send to another one in a second.
func (l *EngineLimits) TokensPerSecond() float64 {
	const bitsPerByte, megabit = 8, 1e6
	return l.LinkMbps * megabit / bitsPerByte / float64(max(l.TokenBytes, 1))
}

// Service is a set of endpoints that serve the same calls.
type Service struct {
	Name           ServiceName
	MaxConnections int
	Engine         *EngineLimits // nil for plain services
}

// CallerLimits bounds what a caller may send.
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

// Rules is one version of the configuration that operators write.
type Rules struct {
	Version  Version
	Routes   []Route
	Services map[ServiceName]Service
	Limits   CallerLimits
	Teams    []Team
}

// Endpoint is what the store says of an endpoint.
type Endpoint struct {
	ID       EndpointID
	Service  ServiceName
	Address  string
	Domain   FailureDomain
	Slots    int
	Draining bool
	// Warmup is how much longer the endpoint is slow after its start.
	Warmup time.Duration
	// Started orders the lives of an endpoint under one id, in Unix ms.
	Started int64
}

// Inbound is what an entry learns from the headers of a caller's request.
type Inbound struct {
	ID           AttemptID
	Deadline     time.Duration // 0 when the caller names none
	Key          string
	Keys         int // number of key headers
	Model        ModelName
	PromptTokens Tokens
	MaxTokens    Tokens
	LengthHint   Tokens
	LastEvent    string
}

// Outbound is what an entry adds to a request for an endpoint.
type Outbound struct {
	Left      time.Duration // time until the call's deadline
	Endpoint  EndpointID
	Team      TeamName
	Urgency   int
	Backup    string // address of the engine that keeps a copy of the generation's memory
	From      string // where the memory of the generation is: address/handle
	LastEvent string
	Hold      string // names the room that the endpoint holds for the call
}

// Reply is what an entry learns from the headers of an endpoint's answer.
type Reply struct {
	ID AttemptID
	// NotRun means that the endpoint states that it did not run the call and never will.
	NotRun bool
	// Misdirected means that another endpoint has the address.
	Misdirected bool
	// Sealed means that the answer carries the endpoint's digest.
	Sealed bool
	// IdleTimeout is how long the endpoint keeps the connection open; 0 when it does not say.
	IdleTimeout time.Duration
}

// Codec translates the headers that callers, entries and endpoints exchange.
type Codec interface {
	// Inbound decodes a caller's request.
	Inbound(r *http.Request) Inbound
	// Outbound returns the headers that an endpoint gets.
	Outbound(r *http.Request, out Outbound) http.Header
	// Reply decodes an endpoint's answer.
	Reply(resp *http.Response) Reply
	// Refusal sets the headers of an answer that the system gives by itself.
	Refusal(h http.Header, id AttemptID, retryAfter time.Duration)
}

// Moved is the result of copying a generation's memory.
type Moved struct {
	Handle string
	Events int // events generated when the copy was complete
}

// Report is what an engine says of itself.
type Report struct {
	Leaving bool
	Started int64 // start of the engine's process in Unix ms
}

// Mover moves running generations between engines and reserves room at them.
type Mover interface {
	// Move copies the memory of a generation from one engine to another; final stops the generation first.
	Move(source, target Endpoint, id AttemptID, final bool) (Moved, error)
	// Stop is a final Move that gives up soon, for an engine that may be out of reach.
	Stop(source, target Endpoint, id AttemptID) (Moved, error)
	// Hold asks an engine to keep room for a call; a *MoveError with status 503 means that it has none.
	Hold(e Endpoint, tokens Tokens, ttl time.Duration) (string, error)
	// Report asks an engine for what it says of itself.
	Report(e Endpoint) (Report, error)
	// Drop frees a copy at the engine that sent it and the one that holds it.
	Drop(source, target Endpoint, handle string)
}

// Decoder reads the objects of the store.
type Decoder interface {
	// Rules decodes a configuration.
	Rules(raw []byte) (*Rules, error)
	// Endpoint decodes the entry of an endpoint.
	Endpoint(id EndpointID, raw []byte) (Endpoint, error)
}
