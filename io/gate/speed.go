package gate

import (
	"fmt"
	"time"

	"snipeshed/core"
	"snipeshed/core/place"
	"snipeshed/core/speed"
	"snipeshed/core/tally"
	"snipeshed/io/event"
)

// slowNotifyInterval is the time without a call at a slow endpoint after which other instances learn of the next one at once.
const slowNotifyInterval = 500 * time.Millisecond

// learned is the estimate of the endpoint that a call is sent to.
type learned struct{ speed, useful float64 }

// lookUpSpeed notes the estimate of an endpoint that the call is about to be sent to.
func (c *call) lookUpSpeed(id core.EndpointID) {
	if !c.g.Selector.LearnsSpeed() {
		return
	}
	c.learned.speed, c.learned.useful = c.g.Selector.Learned(time.Now(), c.service, c.g.Endpoints.OfService(c.service.Name), id)
}

// withSpeed adds the estimate of the endpoint to the fields of a log line.
func (c *call) withSpeed(f event.Fields) event.Fields {
	if c.g.Selector.LearnsSpeed() {
		f["speed"], f["useful"] = fmt.Sprintf("%.2f", c.learned.speed), fmt.Sprintf("%.1f", c.learned.useful)
	}
	return f
}

// callTimer measures the time of a request to an endpoint; a nil one measures nothing.
type callTimer struct {
	g        *Gate
	endpoint core.Endpoint
	slots    int
	work     core.Tokens
	calls    int // in progress at the endpoint when the request was sent, this one included
	sentAt   time.Time
}

// startTimer records that the call, which the load table counts already, is sent to an endpoint, and starts a timer. Other instances learn
// at once of a call at a slow endpoint that had none for a while, so that they do not all send one to notice its recovery.
func (c *call) startTimer(e core.Endpoint) *callTimer {
	if !c.g.Selector.LearnsSpeed() {
		return nil
	}
	now := time.Now()
	if c.learned.speed < 1 {
		c.g.Meter.Count("slow_sent")
		if now.Sub(c.g.Loads.LastCall(e.ID)) >= slowNotifyInterval {
			c.g.NotifyPeers(e.Domain, true)
		}
	}
	c.g.Loads.RecordStart(now, e.ID)
	load := c.g.Loads.Load(now, e.ID)
	t := &callTimer{g: c.g, endpoint: e, slots: place.Slots(c.service, e), work: 1, calls: load.Calls, sentAt: now}
	if c.service.Engine != nil {
		t.work = load.PrefillTokens
	}
	return t
}

// record adds the time until now to the timings of the endpoint.
func (t *callTimer) record() {
	if t == nil || t.work <= 0 {
		return
	}
	now := time.Now()
	calls := max(t.calls, t.g.Loads.Load(now, t.endpoint.ID).Calls)
	t.g.Loads.RecordTiming(now, t.endpoint.ID, speed.IsCrowded(calls, t.slots), tally.Timing{Calls: 1, Time: now.Sub(t.sentAt), Work: t.work})
}
