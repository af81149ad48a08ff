package claim

import (
	"time"

	"snipeshed/core"
)

func errorReply(err *core.Error) *Reply { return &Reply{Err: err} }

const (
	// retryAfter is the retry delay for clients when the store is down or no endpoint accepts connections. While the store is
	// down, its circuit breaker probes about once a second.
	retryAfter = time.Second
	// maxInProgressRetryAfter limits the retry delay for a client whose idempotency key belongs to a call in progress.
	maxInProgressRetryAfter = time.Second
)

func storeDownError(run core.Execution) *core.Error {
	return &core.Error{
		Kind: core.KindStoreDown, Message: "the object API is unreachable, so the action cannot be claimed",
		Remedy: "repeat the call with the same idempotency key", Execution: run, RetryAfter: retryAfter,
	}
}

func deadlineError(run core.Execution) *core.Error {
	return &core.Error{
		Kind: core.KindDeadline, Message: "the deadline passed before the action was sent",
		Remedy: "repeat the call with the same idempotency key and a longer Snipeshed-Timeout-Ms", Execution: run,
	}
}

func noEndpointError() *core.Error {
	return &core.Error{
		Kind: core.KindNoEndpoint, Message: "no endpoint of the service accepted a connection",
		Remedy: "repeat the call with the same idempotency key", Execution: core.NotExecuted, RetryAfter: retryAfter,
	}
}

func keyReusedError() *core.Error {
	return &core.Error{
		Kind: core.KindKeyReused, Message: "the idempotency key was used before with another method, path, query or body",
		Remedy: "use a new idempotency key for a new action", Execution: core.NotExecuted,
	}
}

func inProgressError(left time.Duration) *core.Error {
	return &core.Error{
		Kind: core.KindInProgress, Message: "another call with this idempotency key is in progress",
		Remedy: "repeat the call with the same idempotency key later", Execution: core.ExecutionUnknown,
		RetryAfter: min(max(left, time.Millisecond), maxInProgressRetryAfter),
	}
}

const askServiceRemedy = "ask the service whether the action took place before using a new idempotency key"

func outcomeUnknownError(message string) *core.Error {
	return &core.Error{
		Kind: core.KindOutcomeUnknown, Message: message, Remedy: askServiceRemedy, Execution: core.ExecutionUnknown,
	}
}

func recordUnconfirmedError() *core.Error {
	return &core.Error{
		Kind: core.KindOutcomeUnknown, Message: "the object API did not confirm the action's record in time",
		Remedy: "look the action up, or repeat the call with the same idempotency key", Execution: core.ExecutionUnknown,
	}
}

func newerRecordError() *core.Error {
	return &core.Error{
		Kind: core.KindOutcomeUnknown, Message: "the action's record was written by a newer version of snipeshed",
		Remedy: "look the action up, or repeat the call with the same idempotency key, when all instances are replaced", Execution: core.ExecutionUnknown,
	}
}

func malformedRecordError() *core.Error {
	return &core.Error{
		Kind: core.KindOutcomeUnknown, Message: "the action's record is malformed",
		Remedy: "report the request id to the operators", Execution: core.ExecutionUnknown,
	}
}
