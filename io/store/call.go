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

// maxAnswerBytes bounds the memory of one answer; a page of lists holds values of up to 1 MB each in base64.
const maxAnswerBytes = 64 << 20

var (
	errDown   = errors.New("the object API counts as down and is not called")
	errClosed = errors.New("the client of the object API is closed")
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

func (c call) writes() bool { return c.op == opPut || c.op == opDelete }

func objectPath(key string) string {
	parts := strings.Split(key, "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return "/v1/objects/" + strings.Join(parts, "/")
}

// do sends a call within the store timeout and returns the header and body of a 2xx answer.
//
// When ctx ends first, do returns and the call goes on: only whether the object API answers within its own timeout, and
// not the patience of the caller, tells the breaker whether it is down.
func (s *Store) do(ctx context.Context, c call) (http.Header, []byte, error) {
	if ctx.Err() != nil {
		return nil, nil, &core.StoreError{Op: c.op, Key: c.key, Effect: core.EffectNone, Cause: context.Cause(ctx)}
	}
	base, giveUp := context.WithCancelCause(s.ctx)
	x := exchange{call: c, done: make(chan struct{})}
	started := s.start(func() {
		defer close(x.done)
		defer giveUp(nil)
		s.exchange(base, &x)
	})
	if !started {
		giveUp(nil)
		return nil, nil, &core.StoreError{Op: c.op, Key: c.key, Effect: core.EffectNone, Cause: errClosed}
	}
	select {
	case <-x.done:
		return x.header, x.body, x.err
	case <-ctx.Done():
	}
	if !c.writes() {
		return nil, nil, &core.StoreError{Op: c.op, Key: c.key, Effect: core.EffectNone, Cause: context.Cause(ctx)}
	}
	if x.connected.Load() {
		return nil, nil, &core.StoreError{Op: c.op, Key: c.key, Effect: core.EffectUnknown, Cause: context.Cause(ctx)}
	}
	// A write without a connection is ended, so that its caller knows that it has no effect; a read takes its place.
	giveUp(context.Cause(ctx))
	<-x.done
	s.start(func() { _, _, _ = s.List(s.ctx, c.key, "", 1) }) // only the breaker hears of it
	return x.header, x.body, x.err
}

// exchange is a call in progress and, once done is closed, its outcome.
type exchange struct {
	call
	connected atomic.Bool
	done      chan struct{}

	header http.Header
	body   []byte
	err    error
}

func (s *Store) exchange(ctx context.Context, x *exchange) {
	limited, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	resp, finish, err := s.send(ctx, limited, x.call, &x.connected)
	if err != nil {
		x.err = err
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil && !x.writes() {
		x.err = finish(fmt.Errorf("answer broke off: %w", err))
		return
	}
	// The header of a 2xx answer to a write proves the write, whatever became of the body.
	x.header, x.body, x.err = resp.Header, body, finish(nil)
}

// send sends a call and returns an answer with a 2xx status; finish must then be called with the error of
// reading the body. The end of ctx, unlike that of reqCtx, which is derived from it, says nothing of the object API.
// Connected is set once the request has a connection.
func (s *Store) send(ctx, reqCtx context.Context, c call, connected *atomic.Bool) (*http.Response, func(error) error, error) {
	ok, probe := s.breaker.enter(s.Clock.Now())
	if !ok {
		s.counts.add(countRefused)
		return nil, nil, &core.StoreError{Op: c.op, Key: c.key, Effect: core.EffectNone, Cause: errDown}
	}
	s.counts.add(c.op)
	finish := func(err error) error { return s.finish(ctx, c, probe, connected.Load(), err) }
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(reqCtx, trace), c.method, s.base+c.path, bytes.NewReader(c.body))
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

// finish tells the breaker how a call went and returns its error with the effect that it may have had.
func (s *Store) finish(ctx context.Context, c call, probe, connected bool, err error) error {
	o, effect := outcomeOK, core.EffectNone
	var status *statusError
	switch {
	case err == nil:
	case errors.As(err, &status):
		if status.code >= http.StatusInternalServerError {
			o = outcomeFailed
		}
		if !status.refused() {
			effect = core.EffectUnknown
		}
	default:
		o = outcomeFailed
		if ctx.Err() != nil {
			o = outcomeNone
		}
		// Without a connection no byte was sent; with one, the request may arrive even later.
		if connected {
			effect = core.EffectUnknown
		}
	}
	s.breaker.leave(s.Clock.Now(), probe, o)
	if err == nil {
		return nil
	}
	if o == outcomeFailed {
		s.counts.add(countFailed)
	}
	if !c.writes() {
		effect = core.EffectNone
	}
	return &core.StoreError{Op: c.op, Key: c.key, Effect: effect, Cause: err}
}

// statusError is an answer without a 2xx status.
type statusError struct {
	code int
	text string
}

// maxErrorText bounds how much of an error answer is kept for the message.
const maxErrorText = 200

func newStatusError(resp *http.Response) *statusError {
	b, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorText)) // the status alone decides; the text is for people
	return &statusError{code: resp.StatusCode, text: strings.TrimSpace(string(b))}
}

// refused reports whether the status proves that the request was not carried out.
func (e *statusError) refused() bool { return e.code >= 400 && e.code < 500 }

func (e *statusError) Error() string {
	return strings.TrimSuffix(fmt.Sprintf("status %d: %s", e.code, e.text), ": ")
}

func (e *statusError) Is(target error) bool {
	return (target == core.ErrNotFound && e.code == http.StatusNotFound) ||
		(target == core.ErrVersion && e.code == http.StatusPreconditionFailed) ||
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
