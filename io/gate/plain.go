package gate

import (
	"errors"
	"io"
	"net/http"
	"time"

	"snipeshed/core"
	"snipeshed/core/place"
	"snipeshed/core/tally"
	"snipeshed/io/event"
)

// maxConnectAttempts limits the endpoints that are tried while none of them can be connected to.
const maxConnectAttempts = 4

// servePlain serves a call that has a single response.
func (c *call) servePlain() {
	defer c.releaseBuffers()
	var last *bufferedAnswer
	var lastErr error
	connectFailures := 0
	for {
		e := c.g.Selector.ChooseEndpoint(time.Now(), c.service, c.endpoints(), place.Demand{}, c.tried)
		if e == nil && c.awaitBackoff() {
			continue
		}
		if e == nil {
			break
		}
		if !c.takeCold(e) {
			continue
		}
		c.tried[e.ID] = true
		a, err := c.sendTo(e.Endpoint)
		if err == nil && c.isFinal(a) {
			c.relayAnswer(a)
			return
		}
		if c.r.Context().Err() != nil {
			c.abortCallerLeft("waiting for the answer")
			return
		}
		if unsent := unsentError(err); unsent != nil {
			lastErr = err
			if c.ctx.Err() != nil {
				break // the call's time is over, which says nothing about the endpoint
			}
			c.g.MarkUnreachable(e.ID, unsent.Refused())
			if connectFailures++; connectFailures >= maxConnectAttempts {
				break
			}
			continue
		}
		c.failedAttempts++
		c.mayHaveRun = c.mayHaveRun || err != nil || !a.NotRun
		last, lastErr = a, err
		if !c.mayRetry(last, lastErr) {
			break
		}
	}
	c.answerFailure(last, lastErr)
}

// sendTo sends the call to an endpoint and buffers the response.
func (c *call) sendTo(e core.Endpoint) (*bufferedAnswer, error) {
	load := tally.Load{Calls: 1}
	c.g.Loads.AddOwn(e.ID, load)
	defer c.g.Loads.AddOwn(e.ID, tally.Load{Calls: -1})
	c.sentTo = e.ID
	c.sends++
	c.lookUpSpeed(e.ID)
	timer := c.startTimer(e)
	try := c.newAttempt()
	a, err := c.send(try.ctx, e, c.outboundRequest(core.OutboundHeaders{Endpoint: e.ID, Urgency: noUrgency}))
	if err != nil {
		try.end()
		c.g.Loads.RecordOutcome(time.Now(), e.ID, c.r.Context().Err() == nil)
		return nil, err
	}
	ans := c.bufferAnswer(a)
	ans.sender = e
	if ans.partial {
		ans.attempt = try
		if c.isFinal(ans) && try.removeTimeout() {
			return ans, nil // relayed as it arrives; relayAnswer releases it
		}
		ans.readErr = errFailureTooLong
	}
	if ans.readErr == nil && c.endedWithProcess(a, e) {
		ans.readErr = errProcessEnded
	}
	a.Close(ans.readErr == nil)
	try.end()
	failed := ans.readErr != nil || a.StatusCode >= http.StatusInternalServerError || (a.StatusCode < 300 && !a.HasDigest)
	c.g.Loads.RecordOutcome(time.Now(), e.ID, failed)
	if !failed && a.StatusCode < 300 && c.service.Engine == nil {
		timer.record()
	}
	return ans, nil
}

const noUrgency = -1

// isFinal reports whether an answer is relayed to the caller without a further attempt.
func (c *call) isFinal(ans *bufferedAnswer) bool {
	return ans.readErr == nil && !ans.NotRun && ans.StatusCode < http.StatusInternalServerError && (ans.StatusCode >= 300 || ans.HasDigest)
}

// mayRetry reports whether the call may be sent to another endpoint after an answer or an error; it takes the retry from the
// retry budget and logs the decision.
func (c *call) mayRetry(ans *bufferedAnswer, err error) bool {
	notRun := err == nil && ans.NotRun
	if !notRun && !c.route.Repeatable() {
		return false
	}
	attempts := c.failedAttempts
	if notRun && ans.Misdirected {
		// A misdirected attempt reached another endpoint than the intended one, so it does not count against MaxAttempts.
		attempts--
		c.failedAttempts--
	}
	now := time.Now()
	if attempts >= c.route.MaxAttempts || c.ctx.Err() != nil {
		return false
	}
	ok := c.g.Retries.TryRetry(now, c.service.Name, c.g.FleetSize())
	kind := event.Repeated
	if !ok {
		kind = event.NotRepeated
	}
	c.g.Log.EmitRequest(kind, c.ID, event.Fields{
		"endpoint": c.sentTo, "cause": failureCause(ans, err), "sends": c.sends, "age_ms": c.ageMs(), "not_run": notRun,
	})
	return ok
}

func failureCause(ans *bufferedAnswer, err error) any {
	switch {
	case err != nil:
		return err
	case ans.readErr != nil:
		return ans.readErr
	default:
		return ans.Status
	}
}

// answerFailure responds to a call for which no attempt succeeded.
func (c *call) answerFailure(ans *bufferedAnswer, err error) {
	switch {
	case c.failedAttempts == 0 && unsentError(err) != nil:
		c.refuseUnserved(reasonUnreachable, busyRetryAfter)
	case c.failedAttempts == 0:
		c.refuseUnserved(reasonNoEndpoint, busyRetryAfter)
	case !c.mayHaveRun && (errors.Is(err, errNoOtherEndpoint) || ans != nil && ans.NotRun):
		c.refuseUnserved(reasonDeclined, busyRetryAfter)
	case ans != nil && ans.readErr == nil && !ans.NotRun && ans.StatusCode >= 300:
		c.relayAnswer(ans)
	case errors.Is(err, errDeadline), errors.Is(err, errAttemptTimeout), errors.Is(err, errStopping):
		c.fail(http.StatusGatewayTimeout, err)
	case err != nil:
		c.fail(http.StatusBadGateway, err)
	case ans.readErr != nil:
		c.fail(http.StatusBadGateway, ans.readErr)
	case ans.NotRun:
		c.fail(http.StatusBadGateway, errEarlierAttemptMayHaveRun)
	default:
		c.fail(http.StatusBadGateway, errNoDigest)
	}
}

var errEarlierAttemptMayHaveRun = errors.New("the last endpoint declined the call without running it, but an earlier one may have run it")

var errNoDigest = errors.New("the endpoint's answer lacks its digest header")

// relayAnswer relays an endpoint's response to the caller.
func (c *call) relayAnswer(ans *bufferedAnswer) {
	defer ans.release()
	copyHeader(c.w.Header(), ans.Header)
	if !ans.partial {
		c.w.Header()["Content-Length"] = nil // omitted here; net/http computes it
	}
	c.outcome = "answered"
	c.g.Log.EmitRequest(event.Answered, c.ID, c.withSpeed(event.Fields{
		"status": ans.StatusCode, "endpoint": ans.Endpoint, "sends": c.sends, "route": c.route.Name, "rules": c.table.Version,
		"age_ms": c.ageMs(), "bytes": len(ans.body),
	}))
	c.w.WriteHeader(ans.StatusCode)
	if _, err := c.w.Write(ans.body); err != nil {
		return
	}
	if ans.partial {
		ans.body = nil
		c.releaseBuffers()
		c.relayRest(ans)
	}
}

// relayRest relays the part of a body that was not buffered, as it arrives.
func (c *call) relayRest(ans *bufferedAnswer) {
	n, err := io.Copy(c.w, io.LimitReader(ans.Body, maxRelayedBytes))
	if err == nil && n == maxRelayedBytes {
		err = errAnswerTooLong
	}
	if err == nil && c.endedWithProcess(ans.Answer, ans.sender) {
		err = errProcessEnded
	}
	c.g.Loads.RecordOutcome(time.Now(), ans.Endpoint, err != nil && c.r.Context().Err() == nil)
	if err != nil {
		c.g.Log.EmitRequest(event.Cut, c.ID, event.Fields{"endpoint": ans.Endpoint, "error": err})
		panic(http.ErrAbortHandler)
	}
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	if _, ok := from["Date"]; !ok {
		to["Date"] = nil // prevents net/http from adding a Date header
	}
}

// abortCallerLeft records that the caller has disconnected and aborts the handler.
func (c *call) abortCallerLeft(while string) {
	c.outcome = "caller_left"
	c.g.Log.EmitRequest(event.CallerLeft, c.ID, event.Fields{"while": while, "endpoint": c.sentTo, "age_ms": c.ageMs()})
	panic(http.ErrAbortHandler) // returning without a response would send an empty 200
}
