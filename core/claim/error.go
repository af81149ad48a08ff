package claim

import (
	"time"

	"snipeshed/core"
)

func refuse(err *core.Error) *Reply { return &Reply{Err: err} }

const (
	// storeRetry is how long a client should wait while the store is down; its circuit breaker tries about once a second.
	storeRetry = time.Second
	// maxPollInterval limits how long a duplicate call is told to wait for one that is in progress.
	maxPollInterval = time.Second
)

func storeDown(run core.Run) *core.Error {
	return &core.Error{
		Kind: core.KindStoreDown, Message: "the object API is unreachable, so the action cannot be claimed",
		Remedy: "repeat the call with the same idempotency key", Run: run, RetryAfter: storeRetry,
	}
}

func deadline(run core.Run) *core.Error {
	return &core.Error{
		Kind: core.KindDeadline, Message: "the deadline passed before the action was sent",
		Remedy: "repeat the call with the same idempotency key and a longer Snipeshed-Timeout-Ms", Run: run,
	}
}

func noEndpoint() *core.Error {
	return &core.Error{
		Kind: core.KindNoEndpoint, Message: "no endpoint of the service accepted a connection",
		Remedy: "repeat the call with the same idempotency key", Run: core.RunNot, RetryAfter: storeRetry,
	}
}

func keyReused() *core.Error {
	return &core.Error{
		Kind: core.KindKeyReused, Message: "the idempotency key was used before with another method, path, query or body",
		Remedy: "use a new idempotency key for a new action", Run: core.RunNot,
	}
}

func inProgress(left time.Duration) *core.Error {
	return &core.Error{
		Kind: core.KindInProgress, Message: "another call with this idempotency key is in progress",
		Remedy: "repeat the call with the same idempotency key later", Run: core.RunUnknown,
		RetryAfter: min(max(left, time.Millisecond), maxPollInterval),
	}
}

const askService = "ask the service whether the action took place before using a new idempotency key"

func lost(message string) *core.Error {
	return &core.Error{
		Kind: core.KindOutcomeUnknown, Message: message, Remedy: askService, Run: core.RunUnknown,
	}
}

func unresolved() *core.Error {
	return &core.Error{
		Kind: core.KindOutcomeUnknown, Message: "the object API did not confirm the action's record in time",
		Remedy: "look the action up, or repeat the call with the same idempotency key", Run: core.RunUnknown,
	}
}

func newerRecord() *core.Error {
	return &core.Error{
		Kind: core.KindOutcomeUnknown, Message: "the action's record was written by a newer version of snipeshed",
		Remedy: "look the action up, or repeat the call with the same idempotency key, when all instances are replaced", Run: core.RunUnknown,
	}
}

func malformed() *core.Error {
	return &core.Error{
		Kind: core.KindOutcomeUnknown, Message: "the action's record is malformed",
		Remedy: "report the request id to the operators", Run: core.RunUnknown,
	}
}
