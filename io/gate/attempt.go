package gate

import (
	"context"
	"errors"
	"time"

	"snipeshed/core"
	"snipeshed/core/place"
)

const (
	// attemptTimeoutFactor is the timeout of one attempt at an idempotent call, as a multiple of the route's latency objective.
	attemptTimeoutFactor = 1.7
	minAttemptTimeout    = 120 * time.Millisecond
)

var errAttemptTimeout = errors.New("the endpoint did not answer within the time of one attempt")

// attempt is the context of one attempt at a call; the connection to the endpoint is closed when it ends.
type attempt struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
}

// newAttempt starts an attempt. The time of one at an idempotent call is limited, so that time for another attempt is left.
func (c *call) newAttempt() *attempt {
	a := &attempt{}
	a.ctx, a.cancel = context.WithCancelCause(c.ctx)
	if c.route.Kind == core.RouteIdempotent && c.failedAttempts+1 < c.route.MaxAttempts && c.mayTryAnother() {
		timeout := c.attemptTimeout()
		due := time.Now().Add(timeout)
		a.timer = time.AfterFunc(timeout, func() { a.expire(due) })
	}
	return a
}

// expire ends the attempt when its time is over. If this instance was paused then, its answer may have arrived unread, so the
// attempt gets some more time.
func (a *attempt) expire(due time.Time) {
	if wasPaused(due, time.Now()) {
		time.AfterFunc(afterPauseGrace, func() { a.cancel(errAttemptTimeout) })
		return
	}
	a.cancel(errAttemptTimeout)
}

func (c *call) attemptTimeout() time.Duration {
	timeout := max(time.Duration(attemptTimeoutFactor*float64(c.route.Objective)), minAttemptTimeout)
	return min(timeout, time.Until(c.end)/2)
}

// mayTryAnother reports whether another endpoint may be tried when this one takes too long.
func (c *call) mayTryAnother() bool {
	now := time.Now()
	return c.g.Retries.CanRetry(now, c.service.Name, c.g.FleetSize()) &&
		c.g.Selector.ChooseEndpoint(now, c.service, c.endpoints(), place.Demand{}, c.tried) != nil
}

// removeTimeout lets an attempt whose answer is being relayed last until the call's deadline. It reports whether the attempt
// has not timed out yet.
func (a *attempt) removeTimeout() bool { return a.timer == nil || a.timer.Stop() }

// end ends an attempt whose answer is no longer needed.
func (a *attempt) end() {
	a.removeTimeout()
	a.cancel(nil)
}
