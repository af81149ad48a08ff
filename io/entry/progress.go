package entry

import (
	"context"
	"errors"
	"fmt"

	"snipeshed/core"
)

// progress is how far a call has come, across owners and attempts.
type progress struct {
	g    *generation
	sink sink
	pool core.PoolID
	at   *core.ResumePoint
	next core.Tokens
	// started tells that the engine has started the current generation.
	started bool
	done    bool
	avoid   []string
	// maybeRun tells that an earlier attempt may have run, so that a later refusal does not prove the opposite.
	maybeRun bool
	// tried are the owners that did not take the call.
	tried map[core.InstanceID]bool
	// admitted tells that an owner that has left had queued the call.
	admitted bool
	// badPools are pools without a usable endpoint.
	badPools []core.PoolID
}

// run says whether the call was run, as far as it is provable.
func (p *progress) run() core.Run {
	if p.started {
		return core.RunYes
	}
	return core.RunUnknown
}

// ended returns the error of a call whose deadline passed or whose client is gone.
func (p *progress) ended(ctx context.Context, err error) error {
	var typed *core.Error
	if errors.As(err, &typed) && typed.Run == core.RunNot {
		return p.typed(err)
	}
	return &core.Error{
		Kind: core.KindDeadline, Message: "the deadline passed before the answer was complete",
		Remedy: "allow more time with " + timeoutHeader, Run: p.run(), TokensDelivered: p.next, Cause: ctx.Err(),
	}
}

// typed gives an error its kind and how much was delivered.
func (p *progress) typed(err error) error {
	var found *core.Error
	if errors.As(err, &found) {
		e := *found
		if p.next > 0 && e.Kind != core.KindDeadline {
			// Whatever stopped the last owner, the client's part of the answer ends here.
			e.Kind = core.KindStreamBroken
		}
		if e.Run == core.RunNot && (p.maybeRun || p.at != nil) {
			e.Run = p.run()
		}
		e.TokensDelivered = p.next
		return &e
	}
	return &core.Error{
		Kind: core.KindStreamBroken, Message: fmt.Sprintf("the answer broke after %d tokens", p.next),
		Remedy: "send the request again", Run: p.run(), TokensDelivered: p.next, Cause: err,
	}
}
