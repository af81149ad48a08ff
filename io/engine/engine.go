package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"snipeshed/core"
)

// Engine speaks the runner protocol to one endpoint.
type Engine struct {
	base    string
	client  *http.Client
	polls   *http.Client
	timeout time.Duration
}

// Option changes an Engine.
type Option func(*Engine)

// WithTimeout sets the time in which a unary call must be answered.
func WithTimeout(d time.Duration) Option { return func(e *Engine) { e.timeout = d } }

// WithPollClient sets the client that asks for load reports, so that their bytes can be counted apart.
func WithPollClient(c *http.Client) Option { return func(e *Engine) { e.polls = c } }

const defaultTimeout = time.Second

// New returns a client of the runner at address, given as host:port.
//
// The client must open a connection for each call: Resume and Status are to find out about a silent connection,
// and an idle connection to the same endpoint may be silent, too. Setting Request.Close does not prevent its use.
func New(address string, client *http.Client, opts ...Option) *Engine {
	e := &Engine{base: "http://" + address, client: client, polls: client, timeout: defaultTimeout}
	for _, o := range opts {
		o(e)
	}
	return e
}

var _ core.Runner = (*Engine)(nil)

// Generate starts a generation.
func (e *Engine) Generate(ctx context.Context, req core.GenerateRequest) (core.Stream, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, fmt.Errorf("encode generate request: %w", err)
	}
	return e.open(ctx, http.MethodPost, "/v1/generate", body)
}

// Resume continues a generation's stream from a token over a new connection.
func (e *Engine) Resume(ctx context.Context, id core.GenerationID, from core.Tokens) (core.Stream, error) {
	path := generationPath(id) + "?from=" + strconv.FormatInt(int64(from), 10)
	return e.open(ctx, http.MethodGet, path, nil)
}

// Status asks over a new connection how far a generation has come.
func (e *Engine) Status(ctx context.Context, id core.GenerationID) (core.GenerationStatus, error) {
	var st core.GenerationStatus
	err := e.unary(ctx, e.client, http.MethodGet, generationPath(id)+"/status", nil, &st)
	return st, err
}

// Cancel ends a generation.
func (e *Engine) Cancel(ctx context.Context, id core.GenerationID) error {
	return e.unary(ctx, e.client, http.MethodDelete, generationPath(id), nil, nil)
}

// Load returns the engine's report of itself.
func (e *Engine) Load(ctx context.Context) (core.RunnerLoad, error) {
	var l core.RunnerLoad
	err := e.unary(ctx, e.polls, http.MethodGet, "/v1/load", nil, &l)
	return l, err
}

// Order tells the engine which state to have.
func (e *Engine) Order(ctx context.Context, o core.RunnerOrder) error {
	return e.unary(ctx, e.client, http.MethodPost, "/v1/orders", o, nil)
}

func generationPath(id core.GenerationID) string {
	return "/v1/generations/" + url.PathEscape(string(id))
}

func (e *Engine) open(ctx context.Context, method, path string, body []byte) (core.Stream, error) {
	resp, err := e.do(ctx, e.client, method, path, body) //nolint:bodyclose // the stream closes the body
	if err != nil {
		return nil, err
	}
	return newStream(resp.Body, saysLeaving(resp), core.GenerationID(resp.Header.Get(generationHeader))), nil
}

func (e *Engine) unary(ctx context.Context, client *http.Client, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, e.timeout)
	defer cancel()
	var body []byte
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("encode request for %s: %w", path, err)
		}
		body = b
	}
	resp, err := e.do(ctx, client, method, path, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return fmt.Errorf("decode answer of %s: %w", path, err)
	}
	return nil
}

func (e *Engine) do(ctx context.Context, client *http.Client, method, path string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, e.base+path, http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("make request for %s: %w", path, err)
	}
	if len(body) > 0 {
		req.Body, req.ContentLength = &sentBody{rest: body}, int64(len(body))
	}
	// net/http would add a User-Agent of 32 bytes, a tenth of a poll.
	req.Header["User-Agent"] = []string{""}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := client.Do(req)
	if err != nil {
		if notSent(err) {
			return nil, fmt.Errorf("%w: %w", core.ErrNotSent, err)
		}
		return nil, err
	}
	if resp.StatusCode < http.StatusBadRequest {
		return resp, nil
	}
	defer resp.Body.Close()
	return nil, statusError(resp)
}

// notSent reports whether the connection was never opened, so that no byte can have reached the endpoint.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// generationHeader names the generation before its first line, which an engine without room sends much later. Without it
// a call that waits at the engine could not be told from one whose connection is silent.
const generationHeader = "Generation-Id"

// errorBodyLimit bounds how much of an error answer goes into a message.
const errorBodyLimit = 512

// saysLeaving reports whether an answer, good or bad, says that the endpoint takes no new work.
func saysLeaving(resp *http.Response) bool { return resp.Header.Get("Endpoint-State") == "leaving" }

func statusError(resp *http.Response) error {
	b, _ := io.ReadAll(io.LimitReader(resp.Body, errorBodyLimit)) // a part of the message is enough
	detail := fmt.Errorf("endpoint answered %s: %s", resp.Status, bytes.TrimSpace(b))
	switch {
	case saysLeaving(resp):
		return fmt.Errorf("%w: %w", core.ErrRunnerLeaving, detail)
	case resp.StatusCode == http.StatusNotFound:
		return fmt.Errorf("%w: %w", core.ErrGone, detail)
	case resp.StatusCode == http.StatusConflict && resp.Request.URL.Path == "/v1/orders":
		return fmt.Errorf("%w: %w", core.ErrOldOrder, detail)
	case resp.StatusCode < http.StatusInternalServerError || resp.StatusCode == http.StatusServiceUnavailable:
		return fmt.Errorf("%w: %w", core.ErrNotSent, detail)
	default:
		return detail
	}
}
