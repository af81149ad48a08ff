package host

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Server is an HTTP/1.1 server that stand-ins embed.
type Server struct {
	addr    string
	handler http.Handler
	ln      net.Listener
	srv     *http.Server
	wg      sync.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc
}

// Option configures a Server.
type Option func(*Server)

// WithAddr sets the address to listen on; the default is a free port on loopback.
func WithAddr(addr string) Option { return func(h *Server) { h.addr = addr } }

// WithListener serves on the given listener, such as a Pipe, instead of opening one.
func WithListener(ln net.Listener) Option { return func(h *Server) { h.ln = ln } }

const headerTimeout = 10 * time.Second

// New returns a Server that is not yet started.
func New(handler http.Handler, opts ...Option) *Server {
	h := &Server{addr: "127.0.0.1:0", handler: handler}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	for _, o := range opts {
		o(h)
	}
	return h
}

// Start opens the listener and serves in the background until Close.
func (h *Server) Start() error {
	if h.ln == nil {
		ln, err := net.Listen("tcp", h.addr)
		var op *net.OpError
		if errors.As(err, &op) {
			err = op.Err // without the address, which the message below contains
		}
		if err != nil {
			return fmt.Errorf("cannot listen on %s: %w", h.addr, err)
		}
		h.ln = ln
	}
	h.srv = &http.Server{
		Handler:           h.trackCalls(),
		ReadHeaderTimeout: headerTimeout,
		BaseContext:       func(net.Listener) context.Context { return h.ctx },
	}
	h.wg.Go(func() { _ = h.srv.Serve(h.ln) })
	return nil
}

// trackCalls wraps the handler so that Close waits for the running calls.
func (h *Server) trackCalls() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.wg.Add(1)
		defer h.wg.Done()
		h.handler.ServeHTTP(w, r)
	})
}

// Addr returns the address of the listener; the Server must have been started.
func (h *Server) Addr() string { return h.ln.Addr().String() }

// URL returns the base URL of the server.
func (h *Server) URL() string { return "http://" + h.Addr() }

// Context returns the base context of all requests; Close cancels it.
func (h *Server) Context() context.Context { return h.ctx }

// Go runs f in a goroutine for which Close waits.
func (h *Server) Go(f func()) { h.wg.Go(f) }

// Close closes all connections at once, as a crash of the process would, and waits for the handlers and goroutines.
func (h *Server) Close() error {
	var err error
	if h.srv != nil {
		// Close the connections before canceling the context: a handler that returned first would send a complete response.
		err = h.srv.Close()
	}
	h.cancel()
	h.wg.Wait()
	return err
}

// Sleep waits for d and reports whether it did so without ctx being canceled.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// AbortConnection aborts the calling handler and closes its connection without completing the response.
func AbortConnection() { panic(http.ErrAbortHandler) }

// WriteJSON writes a JSON response.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// WriteError writes a JSON response with a formatted error message.
func WriteError(w http.ResponseWriter, status int, format string, args ...any) {
	WriteJSON(w, status, map[string]string{"error": fmt.Sprintf(format, args...)})
}

// DecodeJSON decodes a JSON body of at most limit bytes into v; on failure it responds with 400 or 413 and returns
// false.
func DecodeJSON(w http.ResponseWriter, r *http.Request, limit int64, v any) bool {
	// Read the whole body, because the server detects a disconnected client only after that.
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err == nil {
		err = json.Unmarshal(b, v)
	}
	if err == nil {
		return true
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		WriteError(w, http.StatusRequestEntityTooLarge, "the body exceeds %d bytes", limit)
	} else {
		WriteError(w, http.StatusBadRequest, "the body is not valid JSON: %v", err)
	}
	return false
}

// OnParam returns the boolean query parameter "on"; if it is missing or malformed it responds with 400 and ok is false.
func OnParam(w http.ResponseWriter, r *http.Request) (on, ok bool) {
	on, err := strconv.ParseBool(r.URL.Query().Get("on"))
	if err != nil {
		WriteError(w, http.StatusBadRequest, "the query parameter \"on\" must be true or false")
	}
	return on, err == nil
}

// CountParam returns a query parameter that must be a non-negative integer; otherwise it responds with 400 and ok is
// false.
func CountParam(w http.ResponseWriter, r *http.Request, name string) (n int, ok bool) {
	n, err := strconv.Atoi(r.URL.Query().Get(name))
	if err != nil || n < 0 {
		WriteError(w, http.StatusBadRequest, "the query parameter %s must be a non-negative integer", name)
		return 0, false
	}
	return n, true
}
