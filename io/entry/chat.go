package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"snipeshed/core"
	"snipeshed/wire"
)

// chatRequest holds the supported fields of a chat-completions request; other fields are ignored.
type chatRequest struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	Stream              bool          `json:"stream"`
	MaxTokens           int64         `json:"max_tokens"`
	MaxCompletionTokens int64         `json:"max_completion_tokens"`
	Seed                *int64        `json:"seed"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

type chatMessage struct {
	Role    string      `json:"role"`
	Content chatContent `json:"content"`
}

// chatContent is the text of a message, given as a string or as a list of parts.
type chatContent struct {
	present bool
	text    string
	err     error
}

// UnmarshalJSON decodes the text and keeps no copy of the raw JSON, which would double the memory for large prompts.
func (c *chatContent) UnmarshalJSON(b []byte) error {
	c.present = true
	if json.Unmarshal(b, &c.text) == nil {
		return nil
	}
	var parts []chatPart
	if c.err = json.Unmarshal(b, &parts); c.err != nil {
		return nil // prompt reports the error with the index of the message
	}
	var text strings.Builder
	for _, p := range parts {
		text.WriteString(p.Text)
		text.WriteString(p.ImageURL.URL)
	}
	c.text = text.String()
	return nil
}

type chatPart struct {
	Type     string `json:"type"`
	Text     string `json:"text"`
	ImageURL struct {
		URL string `json:"url"`
	} `json:"image_url"`
}

func badRequest(format string, args ...any) *core.Error {
	return &core.Error{
		Kind: core.KindBadRequest, Message: fmt.Sprintf(format, args...), Execution: core.NotExecuted,
		Remedy: "correct the request; see docs/clients.md for the format",
	}
}

// prompt joins the messages into the prompt text for the engine.
func (c *chatRequest) prompt() (string, error) {
	n := 0
	for i, m := range c.Messages {
		if !m.Content.present || m.Content.err != nil {
			return "", badRequest("messages[%d].content is neither a string nor a list of parts", i)
		}
		n += len(m.Role) + len(": ") + len(m.Content.text) + len("\n")
	}
	var b strings.Builder
	b.Grow(n)
	for _, m := range c.Messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content.text)
		b.WriteByte('\n')
	}
	return b.String(), nil
}

// defaultMaxTokens applies when neither the request nor the service sets a limit.
const defaultMaxTokens = 32768

// generation is a validated chat request.
type generation struct {
	*request
	service      *wire.Service
	stream       bool
	includeUsage bool
	timeout      time.Duration
	call         core.CallRequest
}

func (e *Entry) handleChat(w http.ResponseWriter, r *http.Request, q *request) {
	g, err := e.parseChat(w, r, q)
	if err != nil {
		e.refuse(w, q.id, err)
		return
	}
	if g.stream {
		e.answerStream(w, r, g)
		return
	}
	e.answerComplete(w, r, g)
}

func (e *Entry) parseChat(w http.ResponseWriter, r *http.Request, q *request) (*generation, error) {
	body, err := e.readBody(w, r)
	if err != nil {
		return nil, bodyError(err, e.Settings.GetMaxBodyBytes())
	}
	var c chatRequest
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, badRequest("the body is not a chat-completions request: %v", err)
	}
	if len(c.Messages) == 0 {
		return nil, badRequest("messages is empty")
	}
	svc := q.cfg.Services[core.ServiceName(c.Model)]
	if svc.GetModel() == "" {
		return nil, &core.Error{
			Kind: core.KindUnknownModel, Message: fmt.Sprintf("model %q does not exist", c.Model),
			Remedy: "use GET /v1/models for the names", Execution: core.NotExecuted,
		}
	}
	if err := checkServiceAccess(q, core.ServiceName(c.Model)); err != nil {
		return nil, err
	}
	prompt, err := c.prompt()
	if err != nil {
		return nil, err
	}
	timeout, err := e.timeout(r, q, svc)
	if err != nil {
		return nil, err
	}
	g := &generation{request: q, service: svc, stream: c.Stream, includeUsage: c.StreamOptions.IncludeUsage, timeout: timeout}
	g.call = core.CallRequest{
		RequestID: q.id, Service: core.ServiceName(c.Model), Team: q.cred.Team, Rank: q.cred.Rank,
		Model: core.ModelName(svc.GetModel()), Prompt: prompt, MaxTokens: maxTokens(&c, svc),
		Seed: rand.Int64(), ConfigNumber: uint64(q.cfg.Number),
	}
	if c.Seed != nil {
		g.call.Seed = *c.Seed
	}
	return g, nil
}

// readBody reads the body of a request up to max_body_bytes. The buffer for a body of known length is allocated at once,
// because growing it step by step would take twice the memory.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	limit := e.Settings.GetMaxBodyBytes()
	in := http.MaxBytesReader(w, r.Body, limit)
	var b bytes.Buffer
	if r.ContentLength > 0 && r.ContentLength <= limit {
		b.Grow(int(r.ContentLength) + bytes.MinRead) // ReadFrom needs this much spare capacity to detect the end without growing
	}
	_, err := b.ReadFrom(in)
	return b.Bytes(), err
}

// bodyError returns the error for a body that could not be read.
func bodyError(err error, limit int64) error {
	var typed *core.Error
	if errors.As(err, &typed) {
		return typed
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &core.Error{
			Kind: core.KindBodyTooLarge, Message: fmt.Sprintf("the body is over %d bytes", limit),
			Remedy: "send a shorter request", Execution: core.NotExecuted,
		}
	}
	return badRequest("the body could not be read: %v", err)
}

// maxTokens returns the lowest of the token limits that the service and the request set.
func maxTokens(c *chatRequest, svc *wire.Service) core.Tokens {
	limit := svc.GetMaxTokens()
	if limit <= 0 {
		limit = defaultMaxTokens
	}
	for _, n := range []int64{c.MaxTokens, c.MaxCompletionTokens} {
		if n > 0 {
			limit = min(limit, n)
		}
	}
	return core.Tokens(limit)
}

// timeoutHeader is the request header with the timeout of a call.
const timeoutHeader = "Snipeshed-Timeout-Ms"

func (e *Entry) timeout(r *http.Request, q *request, svc *wire.Service) (time.Duration, error) {
	if v := r.Header.Get(timeoutHeader); v != "" {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil || n <= 0 {
			return 0, badRequest("header %s has the value %q, which is not a positive number of milliseconds", timeoutHeader, v)
		}
		return ms(n), nil
	}
	for _, n := range []int64{svc.GetTimeoutMs(), q.cfg.Ranks[q.cred.Rank].GetTimeoutMs()} {
		if n > 0 {
			return ms(n), nil
		}
	}
	return ms(e.Settings.GetDefaultTimeoutMs()), nil
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (e *Entry) handleModels(w http.ResponseWriter, _ *http.Request, q *request) {
	list := modelList{Object: "list", Data: []modelItem{}}
	for name, svc := range q.cfg.Services {
		if svc.GetModel() != "" && checkServiceAccess(q, name) == nil {
			list.Data = append(list.Data, modelItem{ID: string(name), Object: "model", OwnedBy: "snipeshed"})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list) // the client may have disconnected
}
