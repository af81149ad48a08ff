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

// Engine is a client of the runner protocol for one endpoint.
type Engine struct {
	base       string
	client     *http.Client
	pollClient *http.Client
	timeout    time.Duration
}

// Option changes an Engine.
type Option func(*Engine)

// WithTimeout sets the timeout of unary calls.
func WithTimeout(d time.Duration) Option { return func(e *Engine) { e.timeout = d } }

// WithPollClient sets the HTTP client for load reports, so that their bytes can be counted separately.
func WithPollClient(c *http.Client) Option { return func(e *Engine) { e.pollClient = c } }

const defaultUnaryTimeout = time.Second

// New returns a client of the runner at address, given as host:port.
//
// The client must open a new connection for each call: Resume and Status are used to check on a connection that has gone
// silent, and an idle connection to the same endpoint may be dead as well. Setting Request.Close does not prevent the reuse
// of an idle connection.
func New(address string, client *http.Client, opts ...Option) *Engine {
	e := &Engine{base: "http://" + address, client: client, pollClient: client, timeout: defaultUnaryTimeout}
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
	return e.openStream(ctx, http.MethodPost, "/v1/generate", body)
}

// Resume continues the stream of a generation at a token, over a new connection.
func (e *Engine) Resume(ctx context.Context, id core.GenerationID, from core.Tokens) (core.Stream, error) {
	path := generationPath(id) + "?from=" + strconv.FormatInt(int64(from), 10)
	return e.openStream(ctx, http.MethodGet, path, nil)
}

// Status returns the progress of a generation, requested over a new connection.
func (e *Engine) Status(ctx context.Context, id core.GenerationID) (core.GenerationStatus, error) {
	var st core.GenerationStatus
	err := e.doUnary(ctx, e.client, http.MethodGet, generationPath(id)+"/status", nil, &st)
	return st, err
}

// Cancel cancels a generation.
func (e *Engine) Cancel(ctx context.Context, id core.GenerationID) error {
	return e.doUnary(ctx, e.client, http.MethodDelete, generationPath(id), nil, nil)
}

// Load returns the engine's load report.
func (e *Engine) Load(ctx context.Context) (core.RunnerLoad, error) {
	var l core.RunnerLoad
	err := e.doUnary(ctx, e.pollClient, http.MethodGet, "/v1/load", nil, &l)
	return l, err
}

// SendOrder sends the engine its wanted state.
func (e *Engine) SendOrder(ctx context.Context, o core.RunnerOrder) error {
	return e.doUnary(ctx, e.client, http.MethodPost, "/v1/orders", o, nil)
}

func generationPath(id core.GenerationID) string {
	return "/v1/generations/" + url.PathEscape(string(id))
}

func (e *Engine) openStream(ctx context.Context, method, path string, body []byte) (core.Stream, error) {
	resp, err := e.do(ctx, e.client, method, path, body) //nolint:bodyclose // the stream closes the body
	if err != nil {
		return nil, err
	}
	return newStream(resp.Body, reportsLeaving(resp), core.GenerationID(resp.Header.Get(generationHeader))), nil
}

func (e *Engine) doUnary(ctx context.Context, client *http.Client, method, path string, in, out any) error {
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
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxUnaryBodyBytes)).Decode(out); err != nil {
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
		req.Body, req.ContentLength = &releasingBody{rest: body}, int64(len(body))
	}
	// The default User-Agent of net/http would add 32 bytes, a tenth of a poll.
	req.Header["User-Agent"] = []string{""}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := client.Do(req)
	if err != nil {
		if dialFailed(err) {
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

// dialFailed reports whether the connection could not be opened, so that no byte has reached the endpoint.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// generationHeader is the response header with the generation's id. An engine without room sends the first line of the
// stream much later than the headers; without the id, a call that waits in the engine looks like one with a dead connection.
const generationHeader = "Generation-Id"

// maxUnaryBodyBytes bounds the answer of a unary call; a load report is the largest one.
const maxUnaryBodyBytes = 256 << 10

// maxErrorBodyBytes bounds how much of an error response is included in the error message.
const maxErrorBodyBytes = 512

// reportsLeaving reports whether a response, successful or not, says that the endpoint accepts no new work.
func reportsLeaving(resp *http.Response) bool { return resp.Header.Get("Endpoint-State") == "leaving" }

// statusError returns the error for a response with an error status.
func statusError(resp *http.Response) error {
	b, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes)) // a partial message is enough
	detail := fmt.Errorf("endpoint answered %s: %s", resp.Status, bytes.TrimSpace(b))
	switch {
	case reportsLeaving(resp):
		return fmt.Errorf("%w: %w", core.ErrRunnerLeaving, detail)
	case resp.StatusCode == http.StatusNotFound:
		return fmt.Errorf("%w: %w", core.ErrUnknownGeneration, detail)
	case resp.StatusCode == http.StatusConflict && resp.Request.URL.Path == "/v1/orders":
		return fmt.Errorf("%w: %w", core.ErrStaleOrder, detail)
	case resp.StatusCode < http.StatusInternalServerError || resp.StatusCode == http.StatusServiceUnavailable:
		return fmt.Errorf("%w: %w", core.ErrNotSent, detail)
	default:
		return detail
	}
}
