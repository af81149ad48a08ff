package queue

import (
	"fmt"
	"hash/fnv"
	"time"

	"snipeshed/core"
)

const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// refusal returns the action that refuses a call; the call was not sent to any endpoint.
func refusal(id core.RequestID, kind core.ErrorKind, message string, after time.Duration) core.Action {
	e := &core.Error{Kind: kind, Message: message, Execution: core.NotExecuted}
	switch kind {
	case core.KindBadRequest:
		e.Remedy = "shorten the prompt"
	case core.KindDeadline:
		e.Remedy = "raise Snipeshed-Timeout-Ms or repeat the call after the time in retry_after_ms"
		e.RetryAfter = withJitter(id, after)
	default:
		e.Remedy = "repeat the call after the time in retry_after_ms"
		e.RetryAfter = withJitter(id, after)
	}
	return core.Action{Kind: core.ActionRefuse, ID: id, Err: e}
}

// withJitter limits a delay and adds a jitter of up to half of it, derived from the request's id, so that refused
// clients don't all retry at the same time.
func withJitter(id core.RequestID, d time.Duration) time.Duration {
	d = min(max(d, minRetryAfter), maxRetryAfter)
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	const steps = 1024 // resolution of the jitter
	return d + d/2*time.Duration(h.Sum32()%steps)/steps
}

// overloadMessage returns the message of a refusal because of a long wait.
func overloadMessage(r *rank, wait time.Duration, limit time.Duration) string {
	return fmt.Sprintf("wait of %s in rank %q exceeds its limit of %s", wait.Round(time.Millisecond), r.rule.Name, limit.Round(time.Millisecond))
}
