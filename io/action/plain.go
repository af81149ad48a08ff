package action

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"snipeshed/core"
	"snipeshed/io/link"
	"snipeshed/io/reply"
)

const (
	// maxAttempts bounds the load that one call can put on failing endpoints.
	maxAttempts = 3
	// relayBuffer is small because most answers are, and each open call holds one.
	relayBuffer = 8 << 10
)

func (a *Action) servePlain(w http.ResponseWriter, r *http.Request, c *call) {
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	resp, ep, err := a.attempt(ctx, c)
	if err != nil {
		reply.Error(w, c.id, err)
		return
	}
	defer a.pick.put(ep.id)
	defer resp.Body.Close()
	a.relay(w, c, resp)
}

// attempt sends until an endpoint answers; the caller returns the endpoint to the picker.
func (a *Action) attempt(ctx context.Context, c *call) (*http.Response, endpoint, error) {
	tried := map[core.EndpointID]bool{}
	run := core.RunNot
	var last error
	for n := range maxAttempts {
		ep, ok := a.pick.take(a.candidates(c.service, tried))
		if !ok {
			break
		}
		tried[ep.id] = true
		if n == 0 {
			a.budget.Call(c.team, ep.id)
		}
		resp, sent, err := a.send(ctx, c, ep, 0)
		if err == nil {
			return resp, ep, nil
		}
		a.pick.put(ep.id)
		last = err
		if sent {
			run = core.RunUnknown
		}
		a.Log.WithField("request_id", c.id).WithField("endpoint", ep.id).WithField("sent", sent).WithError(err).Warn("call_failed")
		if errors.Is(err, link.ErrSilent) && len(a.candidates(c.service, tried)) == 0 {
			delete(tried, ep.id) // a dead connection says nothing of the endpoint, and there is no other
		}
		if ctx.Err() != nil || (sent && !idempotent(c.method)) ||
			n+1 == maxAttempts || len(a.candidates(c.service, tried)) == 0 ||
			!a.budget.Retry(c.team, ep.id) || !sleep(ctx, rand.N(firstPause<<n)+1) {
			break
		}
	}
	switch {
	// Not errors.Is(last, ...): the error of a dial that timed out is a context.DeadlineExceeded too.
	case !a.Clock.Now().Before(c.deadline):
		return nil, endpoint{}, &core.Error{
			Kind: core.KindDeadline, Message: "the endpoint did not answer before the deadline",
			Remedy: "repeat the call with a longer Snipeshed-Timeout-Ms if it may be repeated", Run: run, Cause: last,
		}
	case run == core.RunUnknown:
		return nil, endpoint{}, &core.Error{
			Kind: core.KindOutcomeUnknown, Message: "the endpoint's answer was lost",
			Remedy: "repeat the call if it may be repeated", Run: run, Cause: last,
		}
	}
	return nil, endpoint{}, noEndpoint(c.service, run, last)
}

func idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// relay passes an answer on; one that breaks off midway breaks the client's connection, so that it is not taken for complete.
func (a *Action) relay(w http.ResponseWriter, c *call, resp *http.Response) {
	limit := a.cfg.GetMaxBodyBytes()
	if c.method != http.MethodHead && resp.ContentLength > limit {
		reply.Error(w, c.id, &core.Error{
			Kind: core.KindOutcomeUnknown, Message: fmt.Sprintf("the endpoint's answer is larger than %d bytes", limit),
			Remedy: "ask the service for less", Run: core.RunYes,
		})
		return
	}
	copyHeader(w.Header(), withoutHops(resp.Header))
	w.Header().Set(headerID, string(c.id))
	w.WriteHeader(resp.StatusCode)
	rc := http.NewResponseController(w)
	buf := make([]byte, relayBuffer)
	for n := int64(0); ; {
		k, err := resp.Body.Read(buf)
		if n += int64(k); n > limit {
			panic(http.ErrAbortHandler)
		}
		if k > 0 {
			if _, werr := w.Write(buf[:k]); werr != nil {
				return // the client is gone
			}
			if resp.ContentLength < 0 {
				_ = rc.Flush() // a writer that cannot flush only delays the answer
			}
		}
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

func noEndpoint(service core.ServiceName, run core.Run, cause error) *core.Error {
	return &core.Error{
		Kind: core.KindNoEndpoint, Message: fmt.Sprintf("no endpoint of service %q accepted a connection", service),
		Remedy: "repeat the call later", Run: run, RetryAfter: time.Second, Cause: cause,
	}
}

func leaving() *core.Error {
	return &core.Error{
		Kind: core.KindLeaving, Message: "this instance is shutting down", Remedy: "repeat the call; another instance will take it",
		Run: core.RunNot,
	}
}
