package entry

import (
	"context"
	"errors"
	"fmt"

	"snipeshed/core"
)

// progress is the state of a call across owners and attempts.
type progress struct {
	g           *generation
	sink        eventSink
	pool        core.PoolID
	resumePoint *core.ResumePoint
	nextToken   core.Tokens
	// started reports whether the engine has started the current generation.
	started        bool
	done           bool
	avoidEndpoints []string
	// mayHaveRun reports whether an earlier attempt may have run; a later refusal then does not prove that the call was not run.
	mayHaveRun bool
	// triedOwners are the owners that failed or refused the call.
	triedOwners map[core.InstanceID]bool
	// previouslyQueued reports whether the call waited in the queue of an owner that has shut down.
	previouslyQueued bool
	// unusablePools are pools whose owner found no usable endpoint.
	unusablePools []core.PoolID
}

// runOutcome returns whether the call was run, as far as it is known.
func (p *progress) runOutcome() core.Execution {
	if p.started {
		return core.Executed
	}
	return core.ExecutionUnknown
}

// deadlineError returns the error for a call whose deadline has passed or whose client has disconnected.
func (p *progress) deadlineError(ctx context.Context, err error) error {
	var typed *core.Error
	if errors.As(err, &typed) && typed.Execution == core.NotExecuted {
		return p.typedError(err)
	}
	return &core.Error{
		Kind: core.KindDeadline, Message: "the deadline passed before the answer was complete",
		Remedy: "allow more time with " + timeoutHeader, Execution: p.runOutcome(), TokensDelivered: p.nextToken, Cause: ctx.Err(),
	}
}

// typedError returns err as a *core.Error with the number of delivered tokens and whether the call was run.
func (p *progress) typedError(err error) error {
	var found *core.Error
	if errors.As(err, &found) {
		e := *found
		if p.nextToken > 0 && e.Kind != core.KindDeadline {
			// The client has received a part of the answer, so the stream is broken whatever the cause.
			e.Kind = core.KindStreamBroken
		}
		if e.Execution == core.NotExecuted && (p.mayHaveRun || p.resumePoint != nil) {
			e.Execution = p.runOutcome()
		}
		e.TokensDelivered = p.nextToken
		return &e
	}
	return &core.Error{
		Kind: core.KindStreamBroken, Message: fmt.Sprintf("the answer broke after %d tokens", p.nextToken),
		Remedy: "send the request again", Execution: p.runOutcome(), TokensDelivered: p.nextToken, Cause: err,
	}
}
