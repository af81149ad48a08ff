package dial

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"snipeshed/core"
	"snipeshed/io/sock"
)

const (
	connectTimeout = 400 * time.Millisecond
	// defaultKeepAlive is how long an idle connection is kept for reuse if the endpoint sends no timeout of its own.
	defaultKeepAlive = 4 * time.Second
	// keepAliveMargin is subtracted from the idle timeout that the endpoint sends, so that no request is sent just as the
	// endpoint closes the connection.
	keepAliveMargin = 500 * time.Millisecond
	// listenerCloseTime is the time within which a host closes the listener of a killed process after its connections.
	listenerCloseTime = 30 * time.Millisecond
	maxIdleConns      = 8 // idle connections kept for each endpoint
	// maxSyncWriteBytes is the size up to which a request fits into every socket send buffer, so that writing it cannot block.
	maxSyncWriteBytes = 4 << 10
	// maxMismatchedAnswers is the number of responses to other requests that are skipped before the connection is closed.
	maxMismatchedAnswers = 2
)

// Client is an HTTP client with a pool of idle connections to endpoints; it is safe for concurrent use.
type Client struct {
	codec  core.Codec
	dialer *sock.Dialer

	mu          sync.Mutex
	idle        map[core.EndpointID][]*conn
	closed      bool
	openedConns int64
	sweep       *time.Timer // the next check of the idle connections
}

// New returns a Client without connections.
func New(codec core.Codec) *Client {
	return &Client{
		codec: codec, idle: map[core.EndpointID][]*conn{},
		dialer: sock.New(connectTimeout),
	}
}

// Request is a request to an endpoint.
type Request struct {
	ID     core.AttemptID
	Method string
	Target string // path and query as the caller wrote them
	Host   string
	Header http.Header
	Body   []byte
	// MaxIdle is the longest time for which a reused connection may have been idle.
	MaxIdle time.Duration
}

// Answer is an endpoint's response. The caller must call Close.
type Answer struct {
	*http.Response
	core.ReplyHeaders
	Endpoint core.EndpointID
	// Skipped are the responses to other requests that preceded this one.
	Skipped         []SkippedAnswer
	client          *Client
	conn            *conn
	stopCancelWatch func() bool
	closeOnce       sync.Once
	reusable        bool
}

// SkippedAnswer describes a response to another request that arrived where the response to a request was due.
type SkippedAnswer struct {
	ID     core.AttemptID // empty if the response names no request
	Status int
}

// Send sends a request and reads the status line and headers of its response; an error is always an *Error.
func (d *Client) Send(ctx context.Context, e core.Endpoint, r *Request) (*Answer, error) {
	c, err := d.getConn(ctx, e, r)
	if err != nil {
		return nil, &Error{Cause: err}
	}
	c.startRequest()
	stopCancelWatch := context.AfterFunc(ctx, func() { _ = c.Close() })
	fail := func(err error) (*Answer, error) {
		stopCancelWatch()
		_ = c.Close()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &Error{Written: c.written.Load(), Skipped: c.skipped, Cause: err}
	}
	wroteAll, err := writeRequest(c, r)
	if err != nil {
		return fail(err)
	}
	resp, reply, err := d.readResponse(c, r) //nolint:bodyclose // Answer.Close ends the use of the connection
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = errUnassignedRefusal // the only read deadline is that of startOwnAnswerWait
	}
	if err != nil {
		return fail(err)
	}
	a := &Answer{
		Response: resp, ReplyHeaders: reply, Endpoint: e.ID, Skipped: c.skipped,
		client: d, conn: c, stopCancelWatch: stopCancelWatch,
	}
	a.reusable = !resp.Close && canRepeatSafely(reply, r.Method) && wroteAll()
	if reply.IdleTimeout > 0 {
		c.keepAlive = max(reply.IdleTimeout-keepAliveMargin, 0)
	}
	return a, nil
}

// writeRequest sends the request, a large one in the background, and returns a function that reports whether it is fully
// written.
func writeRequest(c *conn, r *Request) (func() bool, error) {
	var buf bytes.Buffer
	req := &http.Request{
		Method: r.Method, URL: requestURL(r.Target), Host: r.Host, Header: r.Header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: io.NopCloser(bytes.NewReader(r.Body)), ContentLength: int64(len(r.Body)),
	}
	if len(r.Body) == 0 {
		req.Body = http.NoBody
	}
	if len(r.Body) > maxSyncWriteBytes {
		return writeInBackground(func() error { return req.Write(c) }), nil // without a copy of the body
	}
	if err := req.Write(&buf); err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	if buf.Len() <= maxSyncWriteBytes {
		_, err := c.Write(buf.Bytes())
		return func() bool { return true }, err
	}
	return writeInBackground(func() error {
		_, err := c.Write(buf.Bytes())
		return err
	}), nil
}

// writeInBackground calls write in a goroutine and returns a function that reports whether it has succeeded.
func writeInBackground(write func() error) func() bool {
	done := make(chan error, 1)
	go func() { done <- write() }()
	return func() bool {
		select {
		case err := <-done:
			return err == nil
		default:
			return false // the endpoint answered early; it must not parse the rest of the body as another request
		}
	}
}

// requestURL returns a URL that net/http sends exactly as the caller wrote the target.
func requestURL(target string) *url.URL {
	path, query, ok := strings.Cut(target, "?")
	return &url.URL{Opaque: path, RawQuery: query, ForceQuery: ok && query == ""}
}

var (
	errMismatchedAnswer  = errors.New("the endpoint's responses belong to other requests")
	errUnassignedRefusal = errors.New("the endpoint sent a refusal that names no request and may belong to an earlier one")
	errContentEncoding   = errors.New("the endpoint's response has a content encoding that was not requested")
)

// canRepeatSafely reports whether a response that arrives once more on its connection is told apart from the next one: by its
// id, and by a length that does not depend on the method. A refusal is not, because the same id is sent to the same endpoint
// again when a generation is resumed.
func canRepeatSafely(reply core.ReplyHeaders, method string) bool {
	return reply.ID != "" && !reply.NotRun && method != http.MethodHead
}

// readResponse reads the status line and headers of the response to a request, and skips responses to other requests.
func (d *Client) readResponse(c *conn, r *Request) (*http.Response, core.ReplyHeaders, error) {
	for range maxMismatchedAnswers + 1 {
		resp, err := c.readHead(r.Method)
		if err != nil {
			return nil, core.ReplyHeaders{}, err
		}
		if resp.StatusCode < http.StatusOK {
			continue // 1xx responses carry nothing for the caller
		}
		if !c.onlyOwnAnswers() && hasJoinedHeads(resp) {
			return nil, core.ReplyHeaders{}, errJoinedHeads
		}
		encoded := resp.Header.Get("Content-Encoding") != ""
		reply := d.codec.DecodeReply(resp)
		if c.answers(reply, r.ID) {
			if encoded {
				return nil, core.ReplyHeaders{}, errContentEncoding
			}
			c.endOwnAnswerWait()
			return resp, reply, nil
		}
		c.skipped = append(c.skipped, SkippedAnswer{ID: reply.ID, Status: resp.StatusCode})
		if r.Method == http.MethodHead {
			return nil, core.ReplyHeaders{}, errMismatchedAnswer // it may have a body, which a response to HEAD has not
		}
		if err := c.skipBody(resp); err != nil {
			return nil, core.ReplyHeaders{}, err
		}
		if hasJoinedHeads(resp) { // in the trailer, which is read with the body
			return nil, core.ReplyHeaders{}, errJoinedHeads
		}
		if reply.ID == "" && reply.NotRun {
			c.startOwnAnswerWait()
		}
		c.keepAlive = 0
	}
	return nil, core.ReplyHeaders{}, errMismatchedAnswer
}

// Close releases the connection. It is kept for reuse only if fullyRead is set, which means that the caller has read the body
// to its end.
func (a *Answer) Close(fullyRead bool) {
	a.closeOnce.Do(func() {
		cancelled := !a.stopCancelWatch()
		if fullyRead && a.reusable && !cancelled && a.conn.keepAlive > 0 {
			a.client.putIdle(a.Endpoint, a.conn)
			return
		}
		_ = a.conn.Close()
	})
}

// getConn returns an idle connection or a new one. A request without an id gets a new one, because only the order of the
// responses tells which is its own.
func (d *Client) getConn(ctx context.Context, e core.Endpoint, r *Request) (*conn, error) {
	now := time.Now()
	for r.ID != "" {
		c := d.popIdle(e.ID)
		if c == nil {
			break
		}
		if c.usable(now, r.MaxIdle) {
			return c, nil
		}
		_ = c.Close()
	}
	nc, err := d.dialer.DialContext(ctx, "tcp", e.Address)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	d.openedConns++
	d.mu.Unlock()
	return newConn(nc), nil
}

// RefusesConnections reports whether the host of an endpoint refuses a new connection because nothing listens at the address.
func (d *Client) RefusesConnections(ctx context.Context, e core.Endpoint) bool {
	c, err := d.dialer.DialContext(ctx, "tcp", e.Address)
	if err == nil {
		_ = c.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// HasEnded reports whether the process of an endpoint has ended. A host closes the connections of a killed process before its listener
// at times, so that a connection opened in between is reset soon; an endpoint that resets one for another reason takes or resets the next.
func (d *Client) HasEnded(ctx context.Context, e core.Endpoint) bool {
	c, err := d.dialer.DialContext(ctx, "tcp", e.Address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	defer c.Close()
	_ = c.SetReadDeadline(time.Now().Add(listenerCloseTime)) // a connection without deadlines ends with ctx
	if _, err = c.Read(make([]byte, 1)); err == nil || isTimeout(err) {
		return false
	}
	return d.RefusesConnections(ctx, e)
}

func (d *Client) popIdle(id core.EndpointID) *conn {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.idle[id]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	d.idle[id] = list[:len(list)-1]
	return c
}

func (d *Client) putIdle(id core.EndpointID, c *conn) {
	c.idleSince = time.Now()
	d.mu.Lock()
	if !d.closed && len(d.idle[id]) < maxIdleConns && c.br.Buffered() == 0 {
		d.idle[id] = append(d.idle[id], c)
		d.scheduleSweep()
		c = nil
	}
	d.mu.Unlock()
	if c != nil {
		_ = c.Close()
	}
}

// CloseIdle closes the idle connections to an endpoint.
func (d *Client) CloseIdle(id core.EndpointID) {
	d.mu.Lock()
	list := d.idle[id]
	delete(d.idle, id)
	d.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// ConnsOpened returns the total number of connections opened.
func (d *Client) ConnsOpened() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.openedConns
}

// Close closes all idle connections and keeps none from then on.
func (d *Client) Close() {
	d.mu.Lock()
	d.closed = true
	if d.sweep != nil {
		d.sweep.Stop()
	}
	idle := d.idle
	d.idle = map[core.EndpointID][]*conn{}
	d.mu.Unlock()
	for _, list := range idle {
		for _, c := range list {
			_ = c.Close()
		}
	}
}
