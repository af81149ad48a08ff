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

// Owner runs calls of pools; *host.Host implements it.
type Owner interface {
	// Serve runs a call and passes its frames to send. send must not keep a frame or its Event after it has returned, because
	// both are reused for the next event. The prompt in req is cleared once the generation has started.
	Serve(ctx context.Context, req *core.CallRequest, send func(*core.Frame) error) error
	// Cancel cancels a call after its client has disconnected or its deadline has passed.
	Cancel(ctx context.Context, id core.RequestID)
}

// Peer is both the client and the server of forwarded calls.
type Peer struct {
	client       *http.Client
	maxBodyBytes int64
}

// New returns a Peer; maxBodyBytes is the maximum size of a client's request body.
func New(client *http.Client, maxBodyBytes int64) *Peer {
	return &Peer{client: client, maxBodyBytes: maxBodyBytes}
}

// Paths of the HTTP handlers.
const (
	CallPath   = "/peer/v1/call"
	CancelPath = "/peer/v1/cancel"
)

// requestOverhead is the maximum size of the fields of a call request other than the prompt. The prompt may take
// 2*maxBodyBytes, because JSON escapes can double its size.
const requestOverhead = 65536 // bytes

// Register adds the handlers that serve other instances.
func (p *Peer) Register(mux *http.ServeMux, o Owner) {
	mux.HandleFunc("POST "+CallPath, func(w http.ResponseWriter, r *http.Request) { p.handleCall(w, r, o) })
	mux.HandleFunc("POST "+CancelPath, func(w http.ResponseWriter, r *http.Request) {
		o.Cancel(r.Context(), core.RequestID(r.URL.Query().Get("request_id")))
		w.WriteHeader(http.StatusNoContent)
	})
}

func (p *Peer) handleCall(w http.ResponseWriter, r *http.Request, o Owner) {
	var req core.CallRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 2*p.maxBodyBytes+requestOverhead)).Decode(&req); err != nil {
		http.Error(w, "malformed call request: "+err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	flush := http.NewResponseController(w)
	_ = flush.Flush() // the response headers tell the entry that the call has arrived
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
		_ = send(&core.Frame{Error: toFrameError(err)}) // the entry may have disconnected
	}
}

func toFrameError(err error) *core.FrameError {
	e := reply.TypedError(err)
	msg := e.Message
	if e.Cause != nil {
		msg += ": " + e.Cause.Error()
	}
	return &core.FrameError{
		Kind: e.Kind, Message: msg, Remedy: e.Remedy, Execution: e.Execution,
		RetryAfterMS: e.RetryAfter.Milliseconds(), Tokens: e.TokensDelivered,
	}
}

func fromFrameError(f *core.FrameError) *core.Error {
	execution := f.Execution
	switch execution {
	case core.NotExecuted, core.Executed:
	default:
		execution = core.ExecutionUnknown // also for an unknown value from a newer version, which proves nothing
	}
	return &core.Error{
		Kind: f.Kind, Message: f.Message, Remedy: f.Remedy, Execution: execution,
		RetryAfter: time.Duration(f.RetryAfterMS) * time.Millisecond, TokensDelivered: f.Tokens,
	}
}

// ErrUnreachable means that the instance did not get the call.
var ErrUnreachable = errors.New("instance is unreachable")

// ErrLost means that the connection to the instance broke during the call.
var ErrLost = errors.New("connection to the instance was lost")

// Call forwards a call to the instance at address and passes each frame of the answer to recv.
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
		return connectionError(ctx, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotFound || resp.StatusCode == http.StatusMethodNotAllowed {
		return &core.Error{
			// With KindLeaving, the entry tries the next owner and does not suspect this instance of having failed.
			Kind: core.KindLeaving, Execution: core.NotExecuted, Message: "the instance's version does not serve forwarded calls under " + CallPath,
			Remedy: "retry; replace the instances of the older version", RetryAfter: time.Second,
		}
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: instance answered %s", ErrUnreachable, resp.Status)
	}
	return receiveFrames(ctx, resp.Body, recv)
}

// connectionError returns the error of ctx if it has ended. Otherwise it wraps err in ErrUnreachable if the connection was
// never opened, and in ErrLost if it was.
func connectionError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	return fmt.Errorf("%w: %w", ErrLost, err)
}

// receiveFrames passes frames to recv until an error frame or the end of a complete answer.
func receiveFrames(ctx context.Context, body io.Reader, recv func(*core.Frame) error) error {
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
			err = line.DecodeFrame(b, &f, &token)
			f.More = lines.HasLine()
		}
		if err != nil {
			return connectionError(ctx, err)
		}
		if f.Error != nil {
			return fromFrameError(f.Error)
		}
		done = done || (f.Event != nil && f.Event.Done)
		if err := recv(&f); err != nil {
			return err
		}
	}
}

// Cancel tells the instance at address to cancel a call.
func (p *Peer) Cancel(ctx context.Context, address string, id core.RequestID) error {
	hr, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+CancelPath+"?request_id="+string(id), http.NoBody)
	if err != nil {
		return fmt.Errorf("make cancel: %w", err)
	}
	resp, err := p.client.Do(hr)
	if err != nil {
		return connectionError(ctx, err)
	}
	if resp.StatusCode != http.StatusNoContent {
		err = fmt.Errorf("the instance answered the cancellation with status %d", resp.StatusCode)
	}
	return errors.Join(err, resp.Body.Close())
}
