package claim

import "snipeshed/core"

// EventKind classifies the outcome of a step.
type EventKind int

// Kinds of events.
const (
	// EventRead carries the object that was read.
	EventRead EventKind = iota
	// EventMissing means that the object does not exist.
	EventMissing
	// EventReadFailed means that the object could not be read.
	EventReadFailed
	// EventAccepted carries the version that the write made.
	EventAccepted
	// EventConflicted means that the write found another version.
	EventConflicted
	// EventAmbiguous means that the write may have taken effect, now or later.
	EventAmbiguous
	// EventFailed means that the write certainly had no effect.
	EventFailed
	// EventNotSent means that the endpoint certainly got nothing, for instance because it refused the connection.
	EventNotSent
	// EventAnswer carries the endpoint's answer.
	EventAnswer
	// EventAnswerLost means that the request was sent, at least in part, and no complete answer came.
	EventAnswerLost
	// EventDeadline means that the deadline passed while the endpoint's answer was awaited.
	EventDeadline
)

// Event is the outcome of a step.
type Event struct {
	Kind    EventKind
	Version core.Version
	// Record is the object of an EventRead.
	Record Record
	// Result is the answer of an EventAnswer.
	Result *Result
	// More says for EventNotSent that another endpoint can be tried.
	More bool
}

// StepKind classifies a step.
type StepKind int

// Kinds of steps.
const (
	// StepDone ends the attempt.
	StepDone StepKind = iota
	// StepRead reads the object.
	StepRead
	// StepPut writes Step.Record if the version is still Step.IfVersion.
	StepPut
	// StepSend sends the request to an endpoint with Step.IfVersion as its fencing number.
	StepSend
	// StepWait goes on waiting for the endpoint's answer.
	StepWait
)

// Step is what to do next.
type Step struct {
	Kind      StepKind
	Record    Record
	IfVersion core.Version
	// Failures is not 0 when the last store call failed: the number of failed ones since the last accepted write. The
	// pause before this step should grow with it.
	Failures int
	// Tell is the client's answer when it is due now; the steps that follow run in the background.
	Tell *Reply
}

// Reply is the answer to the client: a result or an error.
type Reply struct {
	Result *Result
	// Replayed is set when the result was recorded by an earlier call.
	Replayed bool
	Err      *core.Error
}
