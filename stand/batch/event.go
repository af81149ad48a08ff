package batch

import (
	"time"

	"snipeshed/core"
)

// EventKind is the kind of an Event.
type EventKind int

// Kinds of events.
const (
	// Started reports the first admission of a sequence; Cached is the number of prompt tokens found in the prefix cache.
	Started EventKind = iota
	// Token reports that the token with index Index was generated; indexes start at 0.
	Token
	// Preempted reports that a sequence lost its memory after Index tokens; it is recomputed later.
	Preempted
	// Done reports that a sequence ended after Index tokens.
	Done
	// Stored reports prefix blocks that were added to the cache.
	Stored
	// Removed reports prefix blocks that were evicted from the cache.
	Removed
)

// Event is a state change of the engine or of one of its sequences.
type Event struct {
	Kind   EventKind
	At     time.Time
	ID     core.GenerationID
	Index  core.Tokens
	Cached core.Tokens
	// Reason is ReasonStop or ReasonLength in a Done event.
	Reason string
	// Blocks are the prefix hashes of a Stored or Removed event.
	Blocks []uint64
}

// Reasons for the end of a sequence, as in the finish_reason of the chat completions API.
const (
	ReasonStop   = "stop"
	ReasonLength = "length"
)

// Load is a snapshot of the engine's load, with counters since its creation.
type Load struct {
	KVUsed     core.Tokens `json:"kv_used"`
	KVCapacity core.Tokens `json:"kv_capacity"`
	// Cached is the number of tokens in cached blocks that no running sequence uses; these are evicted when memory is needed.
	Cached      core.Tokens `json:"cached"`
	Running     int         `json:"running"`
	Waiting     int         `json:"waiting"`
	Preemptions int64       `json:"preemptions"`
	// Recomputed counts the tokens that were computed again after preemptions.
	Recomputed core.Tokens `json:"recomputed"`
	// Generated counts the generated tokens of all sequences.
	Generated core.Tokens `json:"generated"`
}
