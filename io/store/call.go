package store

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"

	"snipeshed/core"
)

// maxAnswerBytes bounds the memory of one answer; a page of a list holds values of up to 1 MB each in base64.
const maxAnswerBytes = 64 << 20

var (
	errBreakerOpen = errors.New("the circuit breaker is open after failed calls; the object API is not called")
	errClosed      = errors.New("the client of the object API is closed")
)

// call is one request to the object API.
type call struct {
	op     string
	key    string
	method string
	path   string
	query  url.Values
	header http.Header
	body   []byte
}

func (c call) isWrite() bool { return c.op == opPut || c.op == opDelete }

func objectPath(key string) string {
	parts := strings.Split(key, "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return "/v1/objects/" + strings.Join(parts, "/")
}

// do sends a call within the store timeout and returns the header and body of a 2xx answer.
//
// If ctx ends first, do returns, and the request continues in its own goroutine: the breaker must learn whether the object API
// answers within the store timeout, however short the caller's deadline is.
func (s *Store) do(ctx context.Context, c call) (http.Header, []byte, error) {
	if ctx.Err() != nil {
		return nil, nil, &core.StoreError{Op: c.op, Key: c.key, Effect: core.EffectNone, Cause: context.Cause(ctx)}
	}
	callCtx, cancelCall := context.WithCancelCause(s.ctx)
	x := pendingCall{call: c, done: make(chan struct{})}
	started := s.spawn(func() {
		defer close(x.done)
		defer cancelCall(nil)
		if !s.Protect("a call of the object API", func() { s.roundTrip(callCtx, &x) }) {
			x.err = &core.StoreError{Op: c.op, Key: c.key, Effect: core.EffectUnknown, Cause: core.ErrPanicked}
		}
	})
	if !started {
		cancelCall(nil)
		return nil, nil, &core.StoreError{Op: c.op, Key: c.key, Effect: core.EffectNone, Cause: errClosed}
	}
	select {
	case <-x.done:
		return x.header, x.body, x.err
	case <-ctx.Done():
	}
	if !c.isWrite() {
		return nil, nil, &core.StoreError{Op: c.op, Key: c.key, Effect: core.EffectNone, Cause: context.Cause(ctx)}
	}
	if x.connected.Load() {
		return nil, nil, &core.StoreError{Op: c.op, Key: c.key, Effect: core.EffectUnknown, Cause: context.Cause(ctx)}
	}
	// A write that has no connection yet is canceled, so that its caller knows that it has no effect. A read is sent instead, so
	// that the breaker learns whether the store is available.
	cancelCall(context.Cause(ctx))
	<-x.done
	s.spawn(func() { _, _, _ = s.List(s.ctx, c.key, "", 1) }) // the result is for the breaker only
	return x.header, x.body, x.err
}

// pendingCall is a call in progress and, once done is closed, its result.
type pendingCall struct {
	call
	connected atomic.Bool
	done      chan struct{}

	header http.Header
	body   []byte
	err    error
}

func (s *Store) roundTrip(ctx context.Context, x *pendingCall) {
	reqCtx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	resp, finish, err := s.send(ctx, reqCtx, x.call, &x.connected)
	if err != nil {
		x.err = err
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil && !x.isWrite() {
		x.err = finish(fmt.Errorf("answer was cut off: %w", err))
		return
	}
	// The header of a 2xx answer to a write proves that it took effect, even if the body cannot be read.
	x.header, x.body, x.err = resp.Header, body, finish(nil)
}

// send sends a call and returns an answer with a 2xx status, and a function that must then be called with the error of reading
// the body. If ctx ends, the breaker does not count the call; if only reqCtx ends, which is derived from ctx, the call counts as
// failed. The flag connected is set once the request has a connection.
func (s *Store) send(ctx, reqCtx context.Context, c call, connected *atomic.Bool) (*http.Response, func(error) error, error) {
	ok, probe := s.breaker.allow(s.Clock.Now())
	if !ok {
		s.counts.increment(countRefused)
		return nil, nil, &core.StoreError{Op: c.op, Key: c.key, Effect: core.EffectNone, Cause: errBreakerOpen}
	}
	s.counts.increment(c.op)
	finish := func(err error) error { return s.finish(ctx, c, probe, connected.Load(), err) }
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(reqCtx, trace), c.method, s.baseURL+c.path, bytes.NewReader(c.body))
	if err != nil {
		return nil, nil, finish(err)
	}
	req.URL.RawQuery = c.query.Encode()
	for k, v := range c.header {
		req.Header[k] = v
	}
	resp, err := s.client.Do(req)
	if err != nil {
		if cause := context.Cause(reqCtx); cause != nil {
			err = cause
		}
		return nil, nil, finish(err)
	}
	if resp.StatusCode/100 != 2 {
		defer resp.Body.Close()
		return nil, nil, finish(newStatusError(resp))
	}
	return resp, finish, nil
}

// finish reports the outcome of a call to the breaker and returns its error with the effect that the call may have had.
func (s *Store) finish(ctx context.Context, c call, probe, connected bool, err error) error {
	result, effect := outcomeOK, core.EffectNone
	var status *statusError
	switch {
	case err == nil:
	case errors.As(err, &status):
		if status.code >= http.StatusInternalServerError {
			result = outcomeFailed
		}
		if !status.notExecuted() {
			effect = core.EffectUnknown
		}
	default:
		result = outcomeFailed
		if ctx.Err() != nil {
			result = outcomeUnknown
		}
		// Without a connection no byte was sent; with one, the request may still arrive later.
		if connected {
			effect = core.EffectUnknown
		}
	}
	s.breaker.record(s.Clock.Now(), probe, result)
	if err == nil {
		return nil
	}
	if result == outcomeFailed {
		s.counts.increment(countFailed)
	}
	if !c.isWrite() {
		effect = core.EffectNone
	}
	return &core.StoreError{Op: c.op, Key: c.key, Effect: effect, Cause: err}
}

// statusError is an answer with a status other than 2xx.
type statusError struct {
	code int
	text string
}

// maxErrorText bounds the bytes of an error answer that are kept for the error text.
const maxErrorText = 200

func newStatusError(resp *http.Response) *statusError {
	b, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorText)) // only the status matters; the text is for the error message
	return &statusError{code: resp.StatusCode, text: strings.TrimSpace(string(b))}
}

// notExecuted reports whether the status proves that the request was not executed.
func (e *statusError) notExecuted() bool { return e.code >= 400 && e.code < 500 }

func (e *statusError) Error() string {
	return strings.TrimSuffix(fmt.Sprintf("status %d: %s", e.code, e.text), ": ")
}

func (e *statusError) Is(target error) bool {
	return (target == core.ErrNotFound && e.code == http.StatusNotFound) ||
		(target == core.ErrVersionMismatch && e.code == http.StatusPreconditionFailed) ||
		(target == core.ErrHistoryGone && e.code == http.StatusGone)
}

func etag(v core.Version) string { return strconv.Quote(strconv.FormatUint(uint64(v), 10)) }

func parseETag(h http.Header) (core.Version, error) {
	n, err := strconv.ParseUint(strings.Trim(h.Get("ETag"), `"`), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("answer has the ETag %q instead of a version", h.Get("ETag"))
	}
	return core.Version(n), nil
}
