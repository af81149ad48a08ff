package order

import (
	"time"

	"snipeshed/core"
)

// Kind is the kind of a step.
type Kind int

// Kinds of steps.
const (
	// Nothing means that no step is due before the next report, ticket or outcome.
	Nothing Kind = iota
	// Wait means that Next is to be called again at Step.At.
	Wait
	// AcquireSlot means to acquire a slot of the weight store and to call SlotGranted or SlotDenied with the outcome.
	AcquireSlot
	// ReleaseSlot means to release the slot and then to call SlotReleased.
	ReleaseSlot
	// Send means to call Sending, to send Step.Order and to call Outcome with the result.
	Send
)

// Step is the next operation for the caller to carry out.
type Step struct {
	Kind  Kind
	Order core.RunnerOrder
	// At is the end of a Wait.
	At time.Time
	// Load reports whether the order of a Send makes the endpoint load a model.
	Load bool
}

// Result is the outcome of a sent order.
type Result int

// Results of sent orders.
const (
	// Accepted means that the endpoint accepted the order.
	Accepted Result = iota
	// Refused means that the endpoint has already received an order with a higher number.
	Refused
	// NotSent means that the order certainly had no effect.
	NotSent
	// Unknown means that the order may have taken effect or may still do so.
	Unknown
)

// State is the state of an endpoint's orders, as shown to operators.
type State string

// States of an endpoint.
const (
	// StateUnknown means that there is no report, or none since the endpoint was last unreachable.
	StateUnknown State = "no report"
	// StateDone means that the endpoint reports the wanted state.
	StateDone State = "done"
	// StateNewerTicket means that the endpoint has received an order of a ticket newer than the one that set the wanted state
	// on this instance.
	StateNewerTicket State = "newer ticket at endpoint"
	// StateLoading means that the endpoint is loading the wanted model.
	StateLoading State = "loading"
	// StateSent means that an order was sent and no report can show its effect yet.
	StateSent State = "sent"
	// StateWaitingForSlot means that the load waits for a slot of the weight store.
	StateWaitingForSlot State = "waiting for slot"
	// StateRepeating means that the endpoint accepted the order several times but still deviates from the wanted state.
	StateRepeating State = "order did not take"
	// StateDue means that an order is due.
	StateDue State = "order due"
)
