package core

import (
	"context"
	"errors"
)

// GenerateRequest asks an engine for a generation.
type GenerateRequest struct {
	RequestID RequestID `json:"request_id"`
	Model     ModelName `json:"model"`
	Prompt    string    `json:"prompt"`
	MaxTokens Tokens    `json:"max_tokens"`
	Priority  int64     `json:"priority"`
	Seed      int64     `json:"seed"`
}

// Event is one line of a generation's stream.
type Event struct {
	GenerationID GenerationID `json:"generation_id,omitempty"`
	RequestID    RequestID    `json:"request_id,omitempty"`
	CachedTokens Tokens       `json:"cached_tokens,omitempty"`
	Index        Tokens       `json:"i"`
	Text         string       `json:"t,omitempty"`
	Preempted    bool         `json:"preempted,omitempty"`
	Done         bool         `json:"done,omitempty"`
	FinishReason string       `json:"finish_reason,omitempty"`
	Tokens       Tokens       `json:"tokens,omitempty"`
	// Leaving is set on the first event when the answer's headers state that the engine is leaving.
	Leaving bool `json:"-"`
	// More reports whether the next line of the stream has already arrived, so that Next will not block.
	More bool `json:"-"`
	// Accepted is set on the event that represents the answer's headers: the engine has accepted the call but may not
	// have begun it.
	Accepted bool `json:"-"`
}

// Stream delivers the events of one generation.
type Stream interface {
	// Next returns the next event, or io.EOF after the last.
	Next() (Event, error)
	// Close stops reading; it does not cancel the generation.
	Close() error
}

// GenerationStatus is the progress of a generation.
type GenerationStatus struct {
	RequestID RequestID `json:"request_id"`
	Tokens    Tokens    `json:"tokens"`
	Done      bool      `json:"done"`
}

// RunnerLoad is an engine's load report; it lags behind the actual load.
type RunnerLoad struct {
	KVUsed      Tokens       `json:"kv_used"`
	KVCapacity  Tokens       `json:"kv_capacity"`
	Running     int          `json:"running"`
	Waiting     int          `json:"waiting"`
	Leaving     bool         `json:"leaving"`
	Model       ModelName    `json:"model"`
	Version     string       `json:"version"`
	Adapters    []string     `json:"adapters"`
	Role        string       `json:"role"`
	OrderNumber TicketNumber `json:"order_number"`
	Preemptions int64        `json:"preemptions"`
}

// RunnerOrder is the complete desired state of an engine.
type RunnerOrder struct {
	Number   TicketNumber `json:"number"`
	Model    ModelName    `json:"model"`
	Version  string       `json:"version"`
	Adapters []string     `json:"adapters"`
	Role     string       `json:"role"`
}

// Errors of a Runner.
var (
	// ErrNotSent means that the engine certainly did not receive the request.
	ErrNotSent = errors.New("request was not sent")
	// ErrUnknownGeneration means that the engine does not know the generation.
	ErrUnknownGeneration = errors.New("generation does not exist at the engine")
	// ErrRunnerLeaving means that the engine accepts no new work.
	ErrRunnerLeaving = errors.New("engine is leaving")
	// ErrStaleOrder means that the engine has already received an order with a higher number.
	ErrStaleOrder = errors.New("engine has a newer order")
)

// Runner is a model engine.
type Runner interface {
	// Generate starts a generation.
	Generate(ctx context.Context, req GenerateRequest) (Stream, error)
	// Resume continues a generation's stream over a new connection, starting at the given token.
	Resume(ctx context.Context, id GenerationID, from Tokens) (Stream, error)
	// Status requests the progress of a generation over a new connection.
	Status(ctx context.Context, id GenerationID) (GenerationStatus, error)
	// Cancel ends a generation.
	Cancel(ctx context.Context, id GenerationID) error
	// Load returns the engine's load report.
	Load(ctx context.Context) (RunnerLoad, error)
	// SendOrder sends the engine its desired state.
	SendOrder(ctx context.Context, o RunnerOrder) error
}
