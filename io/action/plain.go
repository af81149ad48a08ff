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
	// relayBufferBytes is small because most answers are small and each open call holds a buffer.
	relayBufferBytes = 8 << 10
)

func (a *Action) servePlain(w http.ResponseWriter, r *http.Request, c *call) {
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	resp, ep, err := a.sendWithRetries(ctx, c)
	if err != nil {
		reply.Error(w, c.id, err)
		return
	}
	defer a.picker.release(ep.id)
	defer resp.Body.Close()
	a.relayResponse(w, c, resp)
}

// sendWithRetries sends the call until an endpoint answers or no retry is allowed. The caller must release the endpoint in
// the picker.
func (a *Action) sendWithRetries(ctx context.Context, c *call) (*http.Response, endpoint, error) {
	tried := map[core.EndpointID]bool{}
	run := core.NotExecuted
	var lastErr error
	for n := range maxAttempts {
		ep, ok := a.picker.acquire(a.candidates(c.service, tried))
		if !ok {
			break
		}
		tried[ep.id] = true
		if n == 0 {
			a.retryBudget.CountCall(c.team, ep.id)
		}
		resp, sent, err := a.send(ctx, c, ep, 0)
		if err == nil {
			return resp, ep, nil
		}
		a.picker.release(ep.id)
		lastErr = err
		if sent {
			run = core.ExecutionUnknown
		}
		a.Log.WithField("request_id", c.id).WithField("endpoint", ep.id).WithField("sent", sent).WithError(err).Warn("call_failed")
		if errors.Is(err, link.ErrSilent) && len(a.candidates(c.service, tried)) == 0 {
			delete(tried, ep.id) // a dead connection does not mean that the endpoint is down, and there is no other one
		}
		if ctx.Err() != nil || (sent && !idempotentMethod(c.method)) ||
			n+1 == maxAttempts || len(a.candidates(c.service, tried)) == 0 ||
			!a.retryBudget.TakeRetry(c.team, ep.id) || !sleep(ctx, rand.N(firstPause<<n)+1) {
			break
		}
	}
	switch {
	// errors.Is(lastErr, context.DeadlineExceeded) would also match the error of a dial that timed out.
	case !a.Clock.Now().Before(c.deadline):
		return nil, endpoint{}, &core.Error{
			Kind: core.KindDeadline, Message: "the endpoint did not answer before the deadline",
			Remedy: "repeat the call with a longer Snipeshed-Timeout-Ms if it may be repeated", Execution: run, Cause: lastErr,
		}
	case run == core.ExecutionUnknown:
		return nil, endpoint{}, &core.Error{
			Kind: core.KindOutcomeUnknown, Message: "the endpoint's answer was lost",
			Remedy: "repeat the call if it may be repeated", Execution: run, Cause: lastErr,
		}
	}
	return nil, endpoint{}, noEndpointError(c.service, run, lastErr)
}

func idempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// relayResponse forwards an answer. If the answer is cut off, it aborts the client's connection too, so that the client does
// not take the answer for complete.
func (a *Action) relayResponse(w http.ResponseWriter, c *call, resp *http.Response) {
	limit := a.cfg.GetMaxBodyBytes()
	if c.method != http.MethodHead && resp.ContentLength > limit {
		reply.Error(w, c.id, &core.Error{
			Kind: core.KindOutcomeUnknown, Message: fmt.Sprintf("the endpoint's answer is larger than %d bytes", limit),
			Remedy: "ask the service for less", Execution: core.Executed,
		})
		return
	}
	copyHeader(w.Header(), withoutHopByHop(resp.Header))
	w.Header().Set(headerRequestID, string(c.id))
	w.WriteHeader(resp.StatusCode)
	rc := http.NewResponseController(w)
	buf := make([]byte, relayBufferBytes)
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
				_ = rc.Flush() // without flushing, the answer is only delayed
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

func noEndpointError(service core.ServiceName, run core.Execution, cause error) *core.Error {
	return &core.Error{
		Kind: core.KindNoEndpoint, Message: fmt.Sprintf("no endpoint of service %q accepted a connection", service),
		Remedy: "repeat the call later", Execution: run, RetryAfter: time.Second, Cause: cause,
	}
}

func leavingError() *core.Error {
	return &core.Error{
		Kind: core.KindLeaving, Message: "this instance is shutting down", Remedy: "repeat the call; another instance will take it",
		Execution: core.NotExecuted,
	}
}
