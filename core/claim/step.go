package claim

import "snipeshed/core"

// EventKind classifies the outcome of a step.
type EventKind int

// Kinds of events.
const (
	// EventRead means that the object was read; it carries the record and its version.
	EventRead EventKind = iota
	// EventNotFound means that the object does not exist.
	EventNotFound
	// EventReadFailed means that the object could not be read.
	EventReadFailed
	// EventWritten means that the write took effect; it carries the new version.
	EventWritten
	// EventWriteConflict means that the write had no effect, because the object has another version.
	EventWriteConflict
	// EventWriteUncertain means that the write may have taken effect or may still do so.
	EventWriteUncertain
	// EventWriteFailed means that the write certainly had no effect.
	EventWriteFailed
	// EventNotSent means that the endpoint certainly received nothing, for instance because it refused the connection.
	EventNotSent
	// EventAnswer carries the endpoint's answer.
	EventAnswer
	// EventAnswerLost means that the request was sent, at least in part, but no complete answer was received.
	EventAnswerLost
	// EventDeadline means that the deadline passed before the endpoint answered.
	EventDeadline
)

// Event is the outcome of a step.
type Event struct {
	Kind    EventKind
	Version core.Version
	// Record is the record that an EventRead found.
	Record Record
	// Result is the answer of an EventAnswer.
	Result *Result
	// MoreEndpoints reports, for EventNotSent, whether another endpoint can be tried.
	MoreEndpoints bool
}

// StepKind classifies a step.
type StepKind int

// Kinds of steps.
const (
	// StepDone ends the attempt.
	StepDone StepKind = iota
	// StepRead reads the object.
	StepRead
	// StepPut writes Step.Record if the object's version is still Step.IfVersion.
	StepPut
	// StepSend sends the request to an endpoint with Step.IfVersion as its fencing number.
	StepSend
	// StepWait keeps waiting for the endpoint's answer.
	StepWait
)

// Step is the next operation for the caller to carry out.
type Step struct {
	Kind      StepKind
	Record    Record
	IfVersion core.Version
	// Failures is the number of failed store calls since the last successful write, or 0 if the last step was not a failed
	// store call. The delay before this step should grow with it.
	Failures int
	// Reply is to be sent to the client now, unless it is nil; the steps after it run in the background.
	Reply *Reply
}

// Reply is the answer to the client: a result or an error.
type Reply struct {
	Result *Result
	// Replayed reports whether the result was recorded by an earlier call.
	Replayed bool
	Err      *core.Error
}
