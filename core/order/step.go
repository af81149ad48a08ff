package order

import (
	"time"

	"snipeshed/core"
)

// Kind says what to do next.
type Kind int

// Kinds of steps.
const (
	// Nothing waits for the next report, ticket or outcome.
	Nothing Kind = iota
	// Wait asks again at Step.At.
	Wait
	// Acquire takes a slot of the weight store and reports it with Granted or Denied.
	Acquire
	// Release gives the slot back and reports it with Released.
	Release
	// Send sends Step.Order after Sending and reports it with Outcome.
	Send
)

// Step is a decision.
type Step struct {
	Kind  Kind
	Order core.RunnerOrder
	// At is when a Wait ends.
	At time.Time
	// Load tells that the order of a Send makes the endpoint load a model.
	Load bool
}

// Result is the outcome of a sent order.
type Result int

// Results of sent orders.
const (
	// Accepted means that the endpoint took the order.
	Accepted Result = iota
	// Refused means that the endpoint has had an order with a higher number.
	Refused
	// NotSent means that the order certainly had no effect.
	NotSent
	// Unknown means that the order may have taken effect, or may do so later.
	Unknown
)

// State describes an endpoint for operators.
type State string

// States of an endpoint.
const (
	// StateUnknown means that no report has come since the endpoint was last unreachable.
	StateUnknown State = "no report"
	// StateDone means that the endpoint reports the wanted state.
	StateDone State = "done"
	// StateBehind means that the endpoint has had the order of a ticket that is not in force here.
	StateBehind State = "newer ticket at endpoint"
	// StateLoading means that the endpoint loads the wanted model.
	StateLoading State = "loading"
	// StateSent means that an order was sent and no report can show it yet.
	StateSent State = "sent"
	// StateSlot means that the load waits for a slot of the weight store.
	StateSlot State = "waiting for slot"
	// StateRepeating means that the endpoint deviates although it had the order.
	StateRepeating State = "order did not take"
	// StatePending means that an order is due.
	StatePending State = "order due"
)
