package gate

import (
	"time"

	"snipeshed/core/fleet"
	"snipeshed/io/event"
)

// endpoints returns the endpoints of the call's service. Cold ones that this instance may not send a request now back off.
func (c *call) endpoints() []*fleet.Status {
	return c.g.Cold.Apply(time.Now(), c.service, c.g.Endpoints.OfService(c.service.Name))
}

// takeCold reports whether the call may be sent to an endpoint as far as the limit of cold ones goes, and counts it. Another call of this
// instance may have been sent there since the choice.
func (c *call) takeCold(e *fleet.Status) bool {
	now := time.Now()
	if !c.g.Cold.Limits(now, c.service, e) {
		return true
	}
	ok := c.g.Cold.Take(now, c.service, e)
	if ok {
		c.g.Meter.Count("cold_sent")
	} else {
		c.g.Meter.Count("cold_passed_over")
	}
	c.g.Log.EmitRequest(event.ColdEndpoint, c.ID, event.Fields{"endpoint": e.ID, "sent": ok, "age_ms": c.ageMs()})
	return ok
}
