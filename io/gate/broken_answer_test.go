package gate_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/stand/plat"
)

// TestCutAnswer guards against an answer that looks whole although its endpoint stopped in the middle of the head, of a chunk's
// size, of the body or of the trailer. Each prefix of an answer is tried, ended by a close and by a reset.
func TestCutAnswer(t *testing.T) {
	const text = "ten bytes."
	for _, tt := range []struct {
		name, path, answer string
	}{
		{"with a length", "/book/1", rawHead("HTTP/1.1 200 OK", "r1", "Content-Length: 10") + text},
		{"in chunks", "/book/1", rawHead("HTTP/1.1 200 OK", "r1", chunkedLine) + chunk(text[:4]) + chunk(text[4:]) + "0\r\n\r\n"},
		{"with a trailer", "/book/1", rawHead("HTTP/1.1 200 OK", "r1", chunkedLine) + chunk(text) + "0\r\nX-Sum: 1\r\n\r\n"},
		{"stream in chunks", "/long/stream", rawHead("HTTP/1.1 200 OK", "r1", chunkedLine) + chunk(events(1, 1)) + "0\r\n\r\n"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var cut, reset atomic.Int32
			handler := rawHandler(func(c net.Conn, _ string) {
				_, _ = io.WriteString(c, tt.answer[:cut.Load()])
				if reset.Load() > 0 {
					time.Sleep(time.Millisecond) // lets the bytes arrive before the reset, which would discard them
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			})
			engine, app := plat.NewEngine("lm-1"), plat.NewEngine("app-0")
			engine.StreamHandler, app.CallHandler = handler, handler
			s := start(t, false, engine, app)
			whole := text
			if strings.HasSuffix(tt.path, "/stream") {
				whole = events(1, 1)
			}
			for n := range len(tt.answer) + 1 {
				for r := range int32(2) {
					cut.Store(int32(n))
					reset.Store(r)
					got, complete := s.tryCall(t, tt.path)
					if n == len(tt.answer) {
						is.True(r > 0 || complete && got == whole)
						continue
					}
					if complete {
						t.Fatalf("an answer cut after %q looks whole: %q", tt.answer[:n], got)
					}
				}
			}
		})
	}
}

// tryCall sends a call and returns the body and whether the caller takes the response for a complete success.
func (s *system) tryCall(t *testing.T, path string) (string, bool) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.URL+path, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "a.example"
	req.Header.Set("Snipeshed-Attempt-Id", "r1")
	req.Header.Set("Api-Key", "k1")
	req.Header.Set("Snipeshed-Token-Count", "100,10")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", false
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return string(b), err == nil && resp.StatusCode == http.StatusOK
}

// TestBrokenResumption guards against the text or the head of an error in the middle of a caller's stream, and against a stream
// that ends as if it were complete: an engine broke off after two events, and the next one answers with something else than the
// rest.
func TestBrokenResumption(t *testing.T) {
	failure := rawHead("HTTP/1.1 500 Internal Server Error", "r1", "Content-Length: 6") + "broken"
	for _, tt := range []struct {
		name, second string
	}{
		{"a failure", failure},
		{"a refusal", "HTTP/1.1 503 Service Unavailable\r\nSnipeshed-Attempt-Id: r1\r\nSnipeshed-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull"},
		{"a success without a digest", "HTTP/1.1 200 OK\r\nSnipeshed-Attempt-Id: r1\r\nContent-Length: 6\r\n\r\nbroken"},
		{"half of a head", failure[:40]},
		{"nothing", ""},
		{"a head without a length and no event", rawHead("HTTP/1.1 200 OK", "r1")},
		{"an error as plain text, without a length", rawHead("HTTP/1.1 200 OK", "r1") + "internal error\n\n"},
		{"an error as plain text, with a length", rawHead("HTTP/1.1 200 OK", "r1", "Content-Length: 16") + "internal error\n\n"},
		{"an error as plain text, in chunks", rawHead("HTTP/1.1 200 OK", "r1", chunkedLine) + chunk("internal error\n\n") + "0\r\n\r\n"},
		{"an answer in an answer", rawHead("HTTP/1.1 200 OK", "r1") + failure + "\n\n"},
		{"an event without an id", rawHead("HTTP/1.1 200 OK", "r1") + "data: error\n\n"},
		{"an event that is cut", rawHead("HTTP/1.1 200 OK", "r1") + "id: 3\ndata: t"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			list := newEngines(2, time.Millisecond)
			var calls atomic.Int32
			for _, e := range list {
				e.StreamHandler = rawHandler(func(c net.Conn, _ string) {
					if calls.Add(1) > 1 {
						_, _ = io.WriteString(c, tt.second)
						return
					}
					_, _ = io.WriteString(c, rawHead("HTTP/1.1 200 OK", "r1", chunkedLine)+chunk(events(1, 2)))
					time.Sleep(20 * time.Millisecond) // lets the gate deliver the events
				})
			}
			resp := start(t, false, list...).send(t.Context(), t, http.MethodPost, "/short/stream", "r1")
			got, err := readBody(resp)
			is.Equal(calls.Load(), int32(2))
			is.True(err != nil) // the caller sees that the stream broke off
			is.Equal(got, events(1, 2))
		})
	}
}

// TestHeadInStream guards against the head of a failure, which an engine writes into its own stream, in the caller's stream.
func TestHeadInStream(t *testing.T) {
	is := is.New(t)
	list := newEngines(1, time.Millisecond)
	list[0].StreamHandler = rawHandler(func(c net.Conn, _ string) {
		_, _ = io.WriteString(c, rawHead("HTTP/1.1 200 OK", "r1")+events(1, 2)+"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 6\r\n\r\nbroken")
	})
	resp := start(t, false, list...).send(t.Context(), t, http.MethodPost, "/long/stream", "r1")
	got, err := readBody(resp)
	is.True(err != nil)
	is.Equal(got, events(1, 2))
}
