package dial

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"snipeshed/core"
	"snipeshed/io/sock"
)

const (
	connectTimeout = 400 * time.Millisecond
	// defaultKeep is how long a connection is kept for reuse when the endpoint does not say how long it keeps it.
	defaultKeep = 4 * time.Second
	// keepMargin is subtracted from the time that the endpoint names, so that no request crosses its close.
	keepMargin = 500 * time.Millisecond
	maxIdle    = 8 // kept connections of one endpoint
	// inlineBytes is the size up to which a request fits every send buffer, so that writing it cannot block.
	inlineBytes = 4 << 10
	// foreignAnswers is the number of answers to other requests that are skipped on one connection.
	foreignAnswers = 2
)

// Dial keeps the connections to endpoints; it is safe for concurrent use.
type Dial struct {
	codec  core.Codec
	dialer *sock.Dialer

	mu     sync.Mutex
	idle   map[core.EndpointID][]*conn
	closed bool
	opened int64
}

// New returns a Dial.
func New(codec core.Codec) *Dial {
	return &Dial{
		codec: codec, idle: map[core.EndpointID][]*conn{},
		dialer: sock.New(connectTimeout),
	}
}

// Request is what an endpoint gets.
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

// Answer is an endpoint's answer; Close must be called.
type Answer struct {
	*http.Response
	core.Reply
	Endpoint core.EndpointID
	d        *Dial
	conn     *conn
	stop     func() bool
	once     sync.Once
	reusable bool
}

// Send sends a request and reads the head of its answer; an error is always an *Error.
func (d *Dial) Send(ctx context.Context, e core.Endpoint, r *Request) (*Answer, error) {
	c, err := d.get(ctx, e, r.MaxIdle)
	if err != nil {
		return nil, &Error{Cause: err}
	}
	c.written.Store(0)
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	fail := func(err error) (*Answer, error) {
		stop()
		_ = c.Close()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &Error{Written: c.written.Load(), Cause: err}
	}
	wrote, err := write(c, r)
	if err != nil {
		return fail(err)
	}
	resp, reply, err := d.read(c, r) //nolint:bodyclose // Answer.Close ends the use of the connection
	if err != nil {
		return fail(err)
	}
	a := &Answer{Response: resp, Reply: reply, Endpoint: e.ID, d: d, conn: c, stop: stop}
	a.reusable = !resp.Close && wrote()
	if reply.IdleTimeout > 0 {
		c.keep = max(reply.IdleTimeout-keepMargin, 0)
	}
	return a, nil
}

// write sends the request and returns a function that reports whether all of it is out.
func write(c *conn, r *Request) (func() bool, error) {
	var head bytes.Buffer
	req := &http.Request{
		Method: r.Method, URL: requestURL(r.Target), Host: r.Host, Header: r.Header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: io.NopCloser(bytes.NewReader(r.Body)), ContentLength: int64(len(r.Body)),
	}
	if len(r.Body) == 0 {
		req.Body = http.NoBody
	}
	if err := req.Write(&head); err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	if head.Len() <= inlineBytes {
		_, err := c.Write(head.Bytes())
		return func() bool { return true }, err
	}
	done := make(chan error, 1)
	go func() {
		_, err := c.Write(head.Bytes())
		done <- err
	}()
	return func() bool {
		select {
		case err := <-done:
			return err == nil
		default:
			return false // the endpoint answered before it had read the request; the rest of it must not be mistaken for another
		}
	}, nil
}

// requestURL keeps the target as the caller wrote it.
func requestURL(target string) *url.URL {
	path, query, ok := strings.Cut(target, "?")
	return &url.URL{Opaque: path, RawQuery: query, ForceQuery: ok && query == ""}
}

var (
	errForeign  = errors.New("the answer belongs to another request")
	errEncoding = errors.New("the answer has a content encoding that nobody asked for")
)

// read reads the head of the answer to a request, past answers that belong to others.
func (d *Dial) read(c *conn, r *Request) (*http.Response, core.Reply, error) {
	for range foreignAnswers + 1 {
		resp, err := http.ReadResponse(c.br, &http.Request{Method: r.Method})
		if err != nil {
			return nil, core.Reply{}, err
		}
		if resp.StatusCode < http.StatusOK {
			continue // interim answers carry nothing for the caller
		}
		encoded := resp.Header.Get("Content-Encoding") != ""
		reply := d.codec.Reply(resp)
		if reply.ID == r.ID || (reply.ID == "" && reply.NotRun) {
			if encoded {
				return nil, core.Reply{}, errEncoding
			}
			return resp, reply, nil
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, core.Reply{}, err
		}
		c.keep = 0
	}
	return nil, core.Reply{}, errForeign
}

// Close ends the use of the connection; it is kept when whole says that the body was read to its end.
func (a *Answer) Close(whole bool) {
	a.once.Do(func() {
		cancelled := !a.stop()
		if whole && a.reusable && !cancelled && a.conn.keep > 0 {
			a.d.put(a.Endpoint, a.conn)
			return
		}
		_ = a.conn.Close()
	})
}

func (d *Dial) get(ctx context.Context, e core.Endpoint, idle time.Duration) (*conn, error) {
	now := time.Now()
	for {
		c := d.pop(e.ID)
		if c == nil {
			break
		}
		if c.usable(now, idle) {
			return c, nil
		}
		_ = c.Close()
	}
	nc, err := d.dialer.DialContext(ctx, "tcp", e.Address)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	d.opened++
	d.mu.Unlock()
	return newConn(nc), nil
}

func (d *Dial) pop(id core.EndpointID) *conn {
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

func (d *Dial) put(id core.EndpointID, c *conn) {
	c.idle = time.Now()
	d.mu.Lock()
	if !d.closed && len(d.idle[id]) < maxIdle {
		d.idle[id] = append(d.idle[id], c)
		c = nil
	}
	d.mu.Unlock()
	if c != nil {
		_ = c.Close()
	}
}

// Forget closes the idle connections of an endpoint that leaves.
func (d *Dial) Forget(id core.EndpointID) {
	d.mu.Lock()
	list := d.idle[id]
	delete(d.idle, id)
	d.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// Opened returns the number of connections opened so far.
func (d *Dial) Opened() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.opened
}

// Close closes all idle connections.
func (d *Dial) Close() {
	d.mu.Lock()
	d.closed = true
	idle := d.idle
	d.idle = map[core.EndpointID][]*conn{}
	d.mu.Unlock()
	for _, list := range idle {
		for _, c := range list {
			_ = c.Close()
		}
	}
}
