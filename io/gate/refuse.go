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

// reason says why a call was refused without having run.
type reason string

const (
	reasonNotReady   reason = "the configuration or the endpoints are not known yet"
	reasonMemory     reason = "this instance holds too many bodies"
	reasonOpen       reason = "this instance serves as many calls as it has descriptors for"
	reasonNoEndpoint reason = "the service has no endpoint that takes calls"
	reasonFull       reason = "no endpoint has room before the call's objective"
	reasonTooLarge   reason = "the prompt is larger than an engine's memory"
	reasonTurnedAway reason = "the endpoint turned the call away"
	reasonStopping   reason = "this instance stops before the call is likely to end"
	reasonUnreached  reason = "the endpoints could not be reached"
)

const (
	busyRetry = 250 * time.Millisecond
	// stopRetry is short, as the next connection goes to another instance.
	stopRetry = 20 * time.Millisecond
	// startShare is the part of the caller's deadline after which it shall come back to an instance that knows no
	// configuration yet; callers wait for a third at most and come back once.
	startShare    = 0.22
	maxStartRetry = 3 * time.Second
)

// startRetry is when a caller shall come back to an instance that knows no configuration yet.
func (c *call) startRetry() time.Duration {
	return min(max(time.Duration(startShare*float64(c.Deadline)), busyRetry/2), maxStartRetry)
}

// refuse answers that the call was not run and when to come back; the time is spread so that callers do not return
// together.
func (c *call) refuse(why reason, after time.Duration) {
	after += rand.N(after/2 + 1)
	c.outcome = "refused"
	c.g.Codec.Refusal(c.w.Header(), c.ID, after)
	o := c.outlook()
	_, waiting := c.g.Tally.Waiting(time.Now())
	c.g.Log.Request(event.Refused, c.ID, event.Fields{
		"reason": why, "status": http.StatusServiceUnavailable, "retry_after_ms": after.Milliseconds(),
		"route": c.routeName(), "service": c.service.Name, "sends": c.sends, "rules": c.version(), "age_ms": c.age(),
		"endpoints": o.Endpoints, "leaving": o.Leaving, "unreachable": o.Unreachable, "room": o.Room,
		"least_share": fmt.Sprintf("%.2f", o.LeastShare), "endpoints_revision": c.g.Fleet.Revision(),
		"waiting": waiting, "left_ms": c.timeLeft().Milliseconds(),
	})
	c.write(http.StatusServiceUnavailable, "not run: "+string(why))
}

// timeLeft is the time in which an answer is of use to the caller, as far as it is known yet.
func (c *call) timeLeft() time.Duration {
	if c.end.IsZero() {
		return c.Deadline
	}
	return time.Until(c.end)
}

// outlook is what the choice of an endpoint was based on.
func (c *call) outlook() place.Outlook {
	if c.rule == nil {
		return place.Outlook{}
	}
	now := time.Now()
	return c.g.Place.Outlook(now, c.service, c.g.Fleet.Of(c.service.Name), c.demand())
}

// deny answers that the configuration does not allow the call.
func (c *call) deny(status int, why string) {
	c.outcome = "denied"
	c.g.Codec.Refusal(c.w.Header(), c.ID, 0)
	c.g.Log.Request(event.Refused, c.ID, event.Fields{
		"reason": why, "status": status, "host": c.r.Host, "path": c.r.URL.Path, "rules": c.version(),
	})
	c.write(status, why)
}

// fail answers that the call may have run and has no answer.
func (c *call) fail(status int, why error) {
	c.outcome = "failed"
	c.g.Codec.Refusal(c.w.Header(), c.ID, 0)
	c.g.Log.Request(event.Failed, c.ID, event.Fields{
		"reason": why, "status": status, "route": c.routeName(), "endpoint": c.sentTo, "sends": c.sends, "age_ms": c.age(),
	})
	c.write(status, "outcome unknown: "+why.Error())
}

func (c *call) write(status int, text string) {
	h := c.w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	c.w.WriteHeader(status)
	// The caller may have left; nothing follows from it.
	_, _ = c.w.Write([]byte(strings.TrimSpace(text) + "\n"))
}

func (c *call) routeName() string {
	if c.rule == nil {
		return ""
	}
	return c.rule.Name
}

func (c *call) version() core.Version {
	if c.route == nil {
		return 0
	}
	return c.route.Version
}

func (c *call) age() int64 { return time.Since(c.start).Milliseconds() }
