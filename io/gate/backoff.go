package gate

import (
	"math/rand/v2"
	"time"

	"snipeshed/core"
	"snipeshed/core/place"
)

const (
	// backoffPollInterval is the longest time between two choices of an endpoint by a call that waits for the end of a backoff;
	// another endpoint may appear meanwhile.
	backoffPollInterval = 50 * time.Millisecond
	// backoffJitter spreads the waiting calls after the end of an endpoint's backoff.
	backoffJitter = 10 * time.Millisecond
)

// backoffEnd returns the earliest time at which an endpoint that was not tried accepts requests again; zero if one does now, or
// if none will.
func (c *call) backoffEnd(tried map[core.EndpointID]bool) time.Time {
	return place.BackoffEnd(time.Now(), c.endpoints(), tried)
}

// backoffEndsBy reports whether the call can wait for an endpoint that was not tried to accept requests again.
func (c *call) backoffEndsBy(latest time.Time) bool {
	end := c.backoffEnd(c.tried)
	return !end.IsZero() && end.Before(latest) && end.Before(c.end)
}

// latestSend returns the time after which an answer is likely to miss the route's latency objective.
func (c *call) latestSend() time.Time {
	return c.start.Add(time.Duration(lateAfterShare * float64(c.route.Objective)))
}

// awaitBackoff waits for an endpoint to accept requests again, at most for backoffPollInterval; it returns false at once if
// none will before the call is late. It aborts the handler if the caller disconnects.
func (c *call) awaitBackoff() bool {
	if !c.backoffEndsBy(c.latestSend()) {
		return false
	}
	d := min(time.Until(c.backoffEnd(c.tried)), backoffPollInterval)
	select {
	case <-c.ctx.Done():
	case <-time.After(d + rand.N(backoffJitter)):
	}
	if c.r.Context().Err() != nil {
		c.abortCallerLeft("waiting for an endpoint")
	}
	return c.ctx.Err() == nil
}

// refuseUnserved refuses a call that no endpoint serves. If all endpoints back off, the caller should return when one accepts
// requests again.
func (c *call) refuseUnserved(why reason, after time.Duration) {
	if end := c.backoffEnd(nil); !end.IsZero() {
		why, after = reasonBackoff, max(after, time.Until(end))
	}
	c.refuse(why, after)
}

// mayBeAsked reports whether an endpoint is known, is not leaving and does not back off.
func (g *Gate) mayBeAsked(id core.EndpointID) bool {
	e := g.Endpoints.Get(id)
	return e != nil && !e.Leaving && !e.BacksOff(time.Now())
}

// backsOff reports whether an endpoint wants no requests now.
func (g *Gate) backsOff(id core.EndpointID) bool {
	e := g.Endpoints.Get(id)
	return e != nil && e.BacksOff(time.Now())
}
