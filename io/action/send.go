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
)

// maxResponseHeader keeps a recorded result of the largest body below the object API's limit of one megabyte.
const maxResponseHeader = 64 << 10

// transport returns a transport that opens a connection for each call.
//
// An endpoint that closes an idle connection while a call is being written leaves it unknown whether the call ran,
// and a call on an idle connection that went silent would wait until its deadline.
func transport(rt http.RoundTripper) http.RoundTripper {
	if rt == nil {
		rt = http.DefaultTransport
	}
	t, ok := rt.(*http.Transport)
	if !ok {
		return rt
	}
	t = t.Clone()
	t.DisableCompression = true
	t.MaxResponseHeaderBytes = maxResponseHeader
	t.DisableKeepAlives = true
	return t
}

// send makes one transmission. Its second result is false only if the endpoint certainly got nothing.
//
// It uses a RoundTripper instead of a Client, as a Client follows redirects and so sends a call again.
func (a *Action) send(ctx context.Context, c *call, ep endpoint, fencing core.Version) (*http.Response, bool, error) {
	left := c.deadline.Sub(a.Clock.Now())
	if left <= 0 {
		return nil, false, context.DeadlineExceeded
	}
	var asked, connected atomic.Bool
	trace := &httptrace.ClientTrace{
		GetConn: func(string) { asked.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}
	req := (&http.Request{
		Method: c.method, URL: &url.URL{Scheme: "http", Host: ep.address, Path: c.path, RawQuery: c.query},
		Header: requestHeader(c.header), ContentLength: int64(len(c.body)),
	}).WithContext(httptrace.WithClientTrace(ctx, trace))
	sendOnce(req, c.body)
	req.Header.Set(headerID, string(c.id))
	req.Header.Set(headerTimeout, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	if c.protected {
		req.Header.Set(headerFencing, strconv.FormatUint(uint64(fencing), 10))
	}
	resp, err := a.transport.RoundTrip(req)
	if err != nil {
		return nil, connected.Load() || !asked.Load(), err
	}
	if resp.StatusCode < http.StatusOK { // 101 hands over the connection, which no client asked for
		resp.Body.Close()
		return nil, true, io.ErrUnexpectedEOF
	}
	return resp, true, nil
}

// sendOnce keeps net/http from sending a request again on its own after a lost connection. It does so for requests
// without a body, or with GetBody, that are safe or have an Idempotency-Key header, whatever their method.
func sendOnce(req *http.Request, body []byte) {
	switch {
	case len(body) > 0 || req.Method == http.MethodGet || req.Method == http.MethodHead ||
		req.Method == http.MethodOptions || req.Method == http.MethodTrace:
		req.Body = io.NopCloser(bytes.NewReader(body))
	default:
		// A POST with an empty Body that is not nil would be sent chunked, which some servers refuse.
		req.Body = http.NoBody
	}
	// net/http looks only for the canonical form; on the wire the case makes no difference.
	if keys, ok := req.Header[headerKey]; ok {
		delete(req.Header, headerKey)
		req.Header[strings.ToLower(headerKey)] = keys
	}
}
