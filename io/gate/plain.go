package gate

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"snipeshed/core"
	"snipeshed/core/place"
	"snipeshed/core/tally"
	"snipeshed/io/dial"
	"snipeshed/io/event"
)

const (
	// holdBytes is the size up to which an answer is read whole before any of it is passed on, so that one that breaks
	// off can be repeated or reported.
	holdBytes = 256 << 10
	// tryShare is the part of the objective after which an idempotent call is tried elsewhere.
	tryShare = 1.7
	minTry   = 120 * time.Millisecond
	// connectTries is the number of endpoints that are tried when nothing could be sent.
	connectTries = 4
)

// whole is an answer that was read to its end.
type whole struct {
	*dial.Answer
	body []byte
	err  error // why the body is incomplete
}

// plain serves a call with one answer.
func (c *call) plain() {
	var last *whole
	var lastErr error
	unreached := 0
	for {
		e := c.g.Place.Choose(time.Now(), c.service, c.g.Fleet.Of(c.service.Name), place.Demand{}, c.tried)
		if e == nil {
			break
		}
		c.tried[e.ID] = true
		a, err := c.try(e.Endpoint)
		if err == nil && c.final(a) {
			c.answer(a)
			return
		}
		if c.r.Context().Err() != nil {
			c.left("waiting for the answer")
			return
		}
		var sendErr *dial.Error
		if errors.As(err, &sendErr) && !sendErr.MayHaveRun() {
			c.g.Unreachable(e.ID, sendErr.Refused())
			if unreached++; unreached >= connectTries || time.Now().After(c.end) {
				lastErr = err
				break
			}
			lastErr = err
			continue
		}
		c.sends++
		c.mayHaveRun = c.mayHaveRun || err != nil || !a.NotRun
		last, lastErr = a, err
		if !c.again(last, lastErr) {
			break
		}
	}
	c.conclude(last, lastErr)
}

// try sends the call to an endpoint and reads the whole answer.
func (c *call) try(e core.Endpoint) (*whole, error) {
	use := tally.Use{Calls: 1}
	c.g.Tally.Add(e.ID, use)
	defer c.g.Tally.Add(e.ID, tally.Use{Calls: -1})
	c.sentTo = e.ID
	ctx, cancel := c.tryContext()
	defer cancel()
	a, err := c.g.Dial.Send(ctx, e, c.request(core.Outbound{Endpoint: e.ID, Urgency: noUrgency}))
	if err != nil {
		c.g.Tally.End(time.Now(), e.ID, c.r.Context().Err() == nil)
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(a.Body, holdBytes+1))
	w := &whole{Answer: a, body: body, err: err}
	if len(body) > holdBytes {
		return w, nil // passed on as it arrives; answer closes it
	}
	a.Close(err == nil)
	failed := err != nil || a.StatusCode >= http.StatusInternalServerError || (a.StatusCode < 300 && !a.Sealed)
	c.g.Tally.End(time.Now(), e.ID, failed)
	return w, nil
}

const noUrgency = -1

// tryContext bounds one try of an idempotent call, so that time for another is left.
func (c *call) tryContext() (context.Context, context.CancelFunc) {
	if c.rule.Kind != core.KindIdempotent || c.sends+1 >= c.rule.MaxAttempts || !c.mayTryAnother() {
		return context.WithCancel(c.ctx)
	}
	bound := max(time.Duration(tryShare*float64(c.rule.Objective)), minTry)
	if left := time.Until(c.end); left < 2*bound {
		bound = left / 2
	}
	return context.WithTimeoutCause(c.ctx, bound, errSlow)
}

// mayTryAnother reports whether an endpoint that takes too long may be given up for another one.
func (c *call) mayTryAnother() bool {
	now := time.Now()
	return c.g.Allow.May(now, c.service.Name, c.g.Instances()) &&
		c.g.Place.Choose(now, c.service, c.g.Fleet.Of(c.service.Name), place.Demand{}, c.tried) != nil
}

var errSlow = errors.New("the endpoint took too long")

// final reports whether an answer is the one for the caller, whatever else could be tried.
func (c *call) final(w *whole) bool {
	return w.err == nil && !w.NotRun && w.StatusCode < http.StatusInternalServerError && (w.StatusCode >= 300 || w.Sealed)
}

// again reports whether the call may be sent to another endpoint after an answer or an error.
func (c *call) again(w *whole, err error) bool {
	notRun := err == nil && w.NotRun
	if !notRun && !c.rule.Repeatable() {
		return false
	}
	sends := c.sends
	if notRun && w.Misdirected {
		sends--
		c.sends--
	}
	now := time.Now()
	if sends >= c.rule.MaxAttempts || !now.Before(c.end) {
		return false
	}
	ok := c.g.Allow.Retry(now, c.service.Name, c.g.Instances())
	kind := event.Repeated
	if !ok {
		kind = event.NotRepeated
	}
	c.g.Log.Request(kind, c.ID, event.Fields{
		"endpoint": c.sentTo, "cause": cause(w, err), "sends": c.sends, "age_ms": c.age(), "not_run": notRun,
	})
	return ok
}

func cause(w *whole, err error) any {
	switch {
	case err != nil:
		return err
	case w.err != nil:
		return w.err
	default:
		return w.Status
	}
}

// conclude answers a call that no endpoint answered well.
func (c *call) conclude(w *whole, err error) {
	var sendErr *dial.Error
	unsent := errors.As(err, &sendErr) && !sendErr.MayHaveRun()
	switch {
	case c.sends == 0 && unsent:
		c.refuse(reasonUnreached, busyRetry)
	case c.sends == 0:
		c.refuse(reasonNoEndpoint, busyRetry)
	case w != nil && w.NotRun && !c.mayHaveRun:
		c.refuse(reasonTurnedAway, busyRetry)
	case w != nil && w.err == nil && !w.NotRun && w.StatusCode >= 300:
		c.answer(w)
	case errors.Is(err, errDeadline), errors.Is(err, errSlow):
		c.fail(http.StatusGatewayTimeout, err)
	case err != nil:
		c.fail(http.StatusBadGateway, err)
	case w.err != nil:
		c.fail(http.StatusBadGateway, w.err)
	case w.NotRun:
		c.fail(http.StatusBadGateway, errEarlierTry)
	default:
		c.fail(http.StatusBadGateway, errUnsealed)
	}
}

var errEarlierTry = errors.New("the last endpoint turned the call away, but an earlier one may have run it")

var errUnsealed = errors.New("the endpoint's answer has no digest")

// answer passes an endpoint's answer on.
func (c *call) answer(w *whole) {
	defer w.Close(false)
	copyHeader(c.w.Header(), w.Header)
	if len(w.body) <= holdBytes {
		c.w.Header()["Content-Length"] = nil // net/http sets it
	}
	c.outcome = "answered"
	c.g.Log.Request(event.Answered, c.ID, event.Fields{
		"status": w.StatusCode, "endpoint": w.Endpoint, "sends": c.sends + 1, "route": c.rule.Name, "rules": c.route.Version,
		"age_ms": c.age(), "bytes": len(w.body),
	})
	c.w.WriteHeader(w.StatusCode)
	if _, err := c.w.Write(w.body); err != nil {
		return
	}
	if len(w.body) <= holdBytes {
		return
	}
	if _, err := io.Copy(c.w, w.Body); err != nil {
		c.g.Log.Request(event.Cut, c.ID, event.Fields{"endpoint": w.Endpoint, "error": err})
		panic(http.ErrAbortHandler)
	}
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	if _, ok := from["Date"]; !ok {
		to["Date"] = nil // keeps net/http from adding its own
	}
}

// left records that the caller is gone; its connection is closed.
func (c *call) left(while string) {
	c.outcome = "caller_left"
	c.g.Log.Request(event.CallerLeft, c.ID, event.Fields{"while": while, "endpoint": c.sentTo, "age_ms": c.age()})
	panic(http.ErrAbortHandler) // a return without an answer would send an empty success
}
