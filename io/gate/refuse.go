package gate

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"snipeshed/core"
	"snipeshed/core/place"
	"snipeshed/io/event"
)

// reason is the text that tells the caller why a call was refused without running it.
type reason string

const (
	reasonNotReady    reason = "the configuration or the endpoints are not known yet"
	reasonBodyBytes   reason = "this instance holds too many bytes of request bodies; retry later"
	reasonOpenCalls   reason = "this instance has as many open calls as its file descriptors allow; retry later"
	reasonNoEndpoint  reason = "the service has no endpoint that takes calls"
	reasonNoRoom      reason = "no endpoint has room before the call's objective"
	reasonTooLarge    reason = "the prompt exceeds the memory of one engine"
	reasonDeclined    reason = "the endpoint declined the call without running it"
	reasonStopping    reason = "this instance stops before the call is likely to end"
	reasonBackoff     reason = "every endpoint of the service asked for no requests for a while"
	reasonQuarantined reason = "a part of the prompt has crashed engines"
	reasonUnreachable reason = "the endpoints could not be reached"
)

const (
	busyRetryAfter = 250 * time.Millisecond
	// quarantineRetryAfter is long because a quarantine lasts until an engine has answered a prompt with the part.
	quarantineRetryAfter = 10 * time.Second
	// stoppingRetryAfter is short because the caller's next connection goes to another instance.
	stoppingRetryAfter = 20 * time.Millisecond
)

// refuse responds with status 503 that the call was not run and when to retry; the delay is randomized so that callers do
// not all retry at once.
func (c *call) refuse(why reason, after time.Duration) {
	after += rand.N(after/2 + 1)
	c.outcome = "refused"
	c.g.Codec.SetRefusalHeaders(c.w.Header(), c.ID, after)
	o := c.availability()
	_, waiting := c.g.Loads.WaitingCalls(time.Now())
	c.g.Log.EmitRequest(event.Refused, c.ID, event.Fields{
		"reason": why, "status": http.StatusServiceUnavailable, "retry_after_ms": after.Milliseconds(),
		"route": c.routeName(), "service": c.service.Name, "sends": c.sends, "rules": c.configVersion(), "age_ms": c.ageMs(),
		"endpoints": o.Endpoints, "leaving": o.Leaving, "unreachable": o.Unreachable, "backing_off": o.BackingOff, "room": o.WithRoom,
		"least_share": fmt.Sprintf("%.2f", o.LeastShare), "endpoints_revision": c.g.Endpoints.Revision(),
		"waiting": waiting, "left_ms": c.timeLeft().Milliseconds(),
	})
	c.writeText(http.StatusServiceUnavailable, "not run: "+string(why))
}

// timeLeft returns the time until the call's deadline, or the caller's timeout while the deadline is not set yet.
func (c *call) timeLeft() time.Duration {
	if c.end.IsZero() {
		return c.Deadline
	}
	return time.Until(c.end)
}

// availability returns the state of the service's endpoints as the choice of an endpoint sees it, for the log.
func (c *call) availability() place.Availability {
	if c.route == nil {
		return place.Availability{}
	}
	now := time.Now()
	return c.g.Selector.Availability(now, c.service, c.endpoints(), c.demand())
}

// deny responds that the configuration does not allow the call.
func (c *call) deny(status int, why string) {
	c.outcome = "denied"
	c.g.Codec.SetRefusalHeaders(c.w.Header(), c.ID, 0)
	c.g.Log.EmitRequest(event.Refused, c.ID, event.Fields{
		"reason": why, "status": status, "host": c.r.Host, "path": c.r.URL.Path, "rules": c.configVersion(),
	})
	c.writeText(status, why)
}

// fail responds that the call has no answer but may have run.
func (c *call) fail(status int, why error) {
	c.outcome = "failed"
	c.g.Codec.SetRefusalHeaders(c.w.Header(), c.ID, 0)
	c.g.Log.EmitRequest(event.Failed, c.ID, event.Fields{
		"reason": why, "status": status, "route": c.routeName(), "endpoint": c.sentTo, "sends": c.sends, "age_ms": c.ageMs(),
	})
	c.writeText(status, "outcome unknown: "+why.Error())
}

func (c *call) writeText(status int, text string) {
	h := c.w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	c.w.WriteHeader(status)
	// A write error means that the caller has disconnected; there is nothing left to do.
	_, _ = c.w.Write([]byte(strings.TrimSpace(text) + "\n"))
}

func (c *call) routeName() string {
	if c.route == nil {
		return ""
	}
	return c.route.Name
}

func (c *call) configVersion() core.Version {
	if c.table == nil {
		return 0
	}
	return c.table.Version
}

func (c *call) ageMs() int64 { return time.Since(c.start).Milliseconds() }
