package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"snipeshed/core"
	"snipeshed/io/line"
	"snipeshed/io/reply"
)

// Owner runs calls of pools; *host.Host is one.
type Owner interface {
	// Serve runs a call and sends its frames; send keeps no frame of a token and no token. The prompt is dropped once the
	// call has started.
	Serve(ctx context.Context, req *core.CallRequest, send func(*core.Frame) error) error
	// Cancel ends a call because its client is gone.
	Cancel(ctx context.Context, id core.RequestID)
}

// Peer is both ends of forwarded calls.
type Peer struct {
	client   *http.Client
	maxBytes int64
}

// New returns a Peer; maxBytes bounds the size of a request.
func New(client *http.Client, maxBytes int64) *Peer { return &Peer{client: client, maxBytes: maxBytes} }

// Paths of the handlers.
const (
	CallPath   = "/peer/v1/call"
	CancelPath = "/peer/v1/cancel"
)

// frameOverhead is allowed for the fields beside the prompt, whose JSON escapes can double its size.
const frameOverhead = 65536

// Register adds the handlers that serve other instances.
func (p *Peer) Register(mux *http.ServeMux, o Owner) {
	mux.HandleFunc("POST "+CallPath, func(w http.ResponseWriter, r *http.Request) { p.serve(w, r, o) })
	mux.HandleFunc("POST "+CancelPath, func(w http.ResponseWriter, r *http.Request) {
		o.Cancel(r.Context(), core.RequestID(r.URL.Query().Get("request_id")))
		w.WriteHeader(http.StatusNoContent)
	})
}

func (p *Peer) serve(w http.ResponseWriter, r *http.Request, o Owner) {
	var req core.CallRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 2*p.maxBytes+frameOverhead)).Decode(&req); err != nil {
		http.Error(w, "malformed call: "+err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	flush := http.NewResponseController(w)
	_ = flush.Flush() // tells the entry that the call has arrived
	var buf []byte
	send := func(f *core.Frame) (err error) {
		if *f == (core.Frame{}) {
			return flush.Flush()
		}
		if buf, err = line.AppendFrame(buf[:0], f); err != nil {
			return fmt.Errorf("encode frame: %w", err)
		}
		if _, err = w.Write(buf); err != nil {
			return fmt.Errorf("send frame to entry: %w", err)
		}
		if f.More {
			return nil
		}
		return flush.Flush()
	}
	if err := o.Serve(r.Context(), &req, send); err != nil {
		_ = send(&core.Frame{Error: toFrame(err)}) // the entry may be gone
	}
}

func toFrame(err error) *core.FrameError {
	e := reply.Typed(err)
	msg := e.Message
	if e.Cause != nil {
		msg += ": " + e.Cause.Error()
	}
	return &core.FrameError{
		Kind: e.Kind, Message: msg, Remedy: e.Remedy, Run: e.Run,
		RetryAfterMS: e.RetryAfter.Milliseconds(), Tokens: e.TokensDelivered,
	}
}

func fromFrame(f *core.FrameError) *core.Error {
	run := f.Run
	switch run {
	case core.RunNot, core.RunYes:
	default:
		run = core.RunUnknown // also a value of a newer version, which proves nothing here
	}
	return &core.Error{
		Kind: f.Kind, Message: f.Message, Remedy: f.Remedy, Run: run,
		RetryAfter: time.Duration(f.RetryAfterMS) * time.Millisecond, TokensDelivered: f.Tokens,
	}
}

// ErrUnreachable means that the instance certainly did not get the call.
var ErrUnreachable = errors.New("instance is unreachable")

// ErrLost means that the connection to the instance broke during the call.
var ErrLost = errors.New("connection to the instance was lost")

// Call forwards a call to the instance at address and passes its frames on.
func (p *Peer) Call(ctx context.Context, address string, req *core.CallRequest, recv func(*core.Frame) error) error {
	body, err := json.Marshal(req)
	if err != nil {
		return fmt.Errorf("encode call: %w", err)
	}
	hr, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+CallPath, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("make call: %w", err)
	}
	resp, err := p.client.Do(hr)
	if err != nil {
		return lost(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotFound || resp.StatusCode == http.StatusMethodNotAllowed {
		return &core.Error{
			// The entry treats the instance as one that takes no calls: it tries the next owner and does not suspect this one.
			Kind: core.KindLeaving, Run: core.RunNot, Message: "the instance's version does not serve forwarded calls under " + CallPath,
			Remedy: "retry; replace the instances of the older version", RetryAfter: time.Second,
		}
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: instance answered %s", ErrUnreachable, resp.Status)
	}
	return receive(ctx, resp.Body, recv)
}

func lost(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	return fmt.Errorf("%w: %w", ErrLost, err)
}

// receive reads frames until the owner's error or the end of a complete answer.
func receive(ctx context.Context, body io.Reader, recv func(*core.Frame) error) error {
	lines := line.NewReader(body)
	done := false
	var f core.Frame
	var token core.Event
	for {
		b, err := lines.Next()
		if done && errors.Is(err, io.EOF) {
			return nil
		}
		if err == nil {
			f = core.Frame{}
			err = line.Frame(b, &f, &token)
			f.More = lines.Ready()
		}
		if err != nil {
			return lost(ctx, err)
		}
		if f.Error != nil {
			return fromFrame(f.Error)
		}
		done = done || (f.Event != nil && f.Event.Done)
		if err := recv(&f); err != nil {
			return err
		}
	}
}

// Cancel tells the instance at address that a call's client is gone.
func (p *Peer) Cancel(ctx context.Context, address string, id core.RequestID) error {
	hr, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+CancelPath+"?request_id="+string(id), http.NoBody)
	if err != nil {
		return fmt.Errorf("make cancel: %w", err)
	}
	resp, err := p.client.Do(hr)
	if err != nil {
		return lost(ctx, err)
	}
	return resp.Body.Close()
}
