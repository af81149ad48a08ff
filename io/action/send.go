package action

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"

	"snipeshed/core"
	"snipeshed/io/head"
)

// maxResponseHeaderBytes keeps a recorded result, with a body of the maximum size, below the object API's limit of 1 MB.
const maxResponseHeaderBytes = 64 << 10

// newTransport returns a transport that opens a new connection for each call and checks the heads of answers.
//
// With reused connections, it would be unknown whether a call ran if the endpoint closed the idle connection while the
// call was being written, and a call on a dead idle connection would wait until its deadline.
func newTransport(rt http.RoundTripper) http.RoundTripper {
	if rt == nil {
		rt = http.DefaultTransport
	}
	t, ok := rt.(*http.Transport)
	if !ok {
		return head.NewTransport(rt)
	}
	t = t.Clone()
	t.DisableCompression = true
	t.MaxResponseHeaderBytes = maxResponseHeaderBytes
	t.DisableKeepAlives = true
	t.DialContext = scanFolds(t.DialContext)
	return head.NewTransport(t)
}

// send sends the call to an endpoint once. Its second result is false only if the endpoint certainly received nothing.
//
// It uses a RoundTripper instead of a Client, because a Client follows redirects and so sends a call again.
func (a *Action) send(ctx context.Context, c *call, ep endpoint, fencing core.Version) (*http.Response, bool, error) {
	left := c.deadline.Sub(a.Clock.Now())
	if left <= 0 {
		return nil, false, context.DeadlineExceeded
	}
	var connRequested, connected atomic.Bool
	trace := &httptrace.ClientTrace{
		GetConn: func(string) { connRequested.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}
	req := (&http.Request{
		Method: c.method, URL: &url.URL{Scheme: "http", Host: ep.address, Path: c.path, RawQuery: c.query},
		Header: forwardedHeader(c.header), ContentLength: int64(len(c.body)),
	}).WithContext(httptrace.WithClientTrace(ctx, trace))
	disableRetry(req, c.body)
	req.Header.Set(headerRequestID, string(c.id))
	req.Header.Set(headerTimeout, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	if c.protected {
		req.Header.Set(headerFencing, strconv.FormatUint(uint64(fencing), 10))
	}
	resp, err := a.transport.RoundTrip(req)
	if err != nil {
		return nil, connected.Load() || !connRequested.Load(), err
	}
	return resp, true, nil
}

// disableRetry sets the body and the Idempotency-Key header of a request such that net/http does not send it again after a
// lost connection. net/http repeats a request without a body or with GetBody if its method is safe or it has that header.
func disableRetry(req *http.Request, body []byte) {
	switch {
	case len(body) > 0 || req.Method == http.MethodGet || req.Method == http.MethodHead ||
		req.Method == http.MethodOptions || req.Method == http.MethodTrace:
		req.Body = io.NopCloser(bytes.NewReader(body))
	default:
		// A POST with an empty Body that is not nil would be sent chunked, which some servers refuse.
		req.Body = http.NoBody
	}
	// net/http looks only for the canonical form of the header name; endpoints ignore its case.
	if keys, ok := req.Header[headerIdempotencyKey]; ok {
		delete(req.Header, headerIdempotencyKey)
		req.Header[strings.ToLower(headerIdempotencyKey)] = keys
	}
}
