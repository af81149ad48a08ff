package gate_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/stand/broken"
	"snipeshed/stand/plat"
)

// answerForms are sound answers to an attempt, by how the end of their body is told.
var answerForms = []struct{ name, answer string }{
	{"with a length", rawHead("HTTP/1.1 200 OK", "r1", fmt.Sprint("Content-Length: ", len(events(1, 2)))) + events(1, 2)},
	{"in chunks", rawHead("HTTP/1.1 200 OK", "r1", chunkedLine) + chunk(events(1, 2)) + "0\r\n\r\n"},
	{"until the end of the connection", rawHead("HTTP/1.1 200 OK", "r1") + events(1, 2)},
	{"failure", rawHead("HTTP/1.1 500 Internal Server Error", "r1", "Content-Length: 6") + "failed"},
	{"refusal", "HTTP/1.1 503 Service Unavailable\r\nSnipeshed-Attempt-Id: r1\r\nSnipeshed-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull"},
}

// malformedCalls are calls to endpoints of which the first sends a malformed answer.
var malformedCalls = []struct {
	path string
	runs int32  // endpoints that get the call
	text string // of the answer that the caller gets; empty if it gets 502
}{
	{"/book/1", 1, ""},
	{"/look/1", 2, events(1, 2)},
	{"/long/stream", 1, ""},
	{"/short/stream", 2, events(1, 2)},
}

// checkMalformedHeads checks what callers get when an endpoint sends an answer with a malformed head: never that answer.
func checkMalformedHeads(t *testing.T, heads []broken.Head) {
	for _, head := range heads {
		for _, form := range answerForms {
			if head.Spoil(form.answer) == form.answer {
				continue // the line that would be malformed is not in it
			}
			t.Run(head.Name+"/"+form.name, func(t *testing.T) {
				t.Parallel()
				for _, call := range malformedCalls {
					checkMalformedAnswer(t, call.path, head.Spoil(form.answer), call.runs, call.text)
				}
			})
		}
	}
}

// checkMalformedAnswer checks what a caller gets when the first endpoint sends an answer and the second one a sound one.
func checkMalformedAnswer(t *testing.T, path, answer string, runs int32, text string) {
	t.Helper()
	is := is.New(t)
	var calls atomic.Int32
	handler := func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) > 1 {
			_, _ = io.WriteString(w, events(1, 2))
			return
		}
		rawHandler(func(c net.Conn, _ string) { _, _ = io.WriteString(c, answer) })(w, r)
	}
	list := append(newEngines(2, 0), newApps(2)...)
	for _, e := range list {
		e.StreamHandler, e.CallHandler = handler, handler
	}
	s := start(t, false, list...)
	defer func() {
		if t.Failed() {
			t.Log(s.log.String())
		}
	}()
	resp := s.send(t.Context(), t, http.MethodPost, path, "r1")
	if text == "" {
		checkOwnAnswer(is, resp)
	} else {
		got, err := readBody(resp)
		is.NoErr(err)
		is.Equal(got, text)
		is.Equal(resp.StatusCode, http.StatusOK)
		is.True(resp.Header.Get("Snipeshed-Server-Seal") != "seal-raw")
	}
	is.Equal(calls.Load(), runs)
}

// TestMalformedStatus guards against an answer with a status that HTTP does not define and that a caller gets as an answer.
func TestMalformedStatus(t *testing.T) { checkMalformedHeads(t, broken.Statuses()) }

// TestMalformedName guards against an answer with a field whose name is no token: with that line passed on, or with a body that is
// not the endpoint's, because the line told where it ends.
func TestMalformedName(t *testing.T) { checkMalformedHeads(t, broken.Names()) }

// TestFoldedLine guards against an answer with a line that begins with a blank and is taken as the end of the line before.
func TestFoldedLine(t *testing.T) { checkMalformedHeads(t, broken.Folds()) }

// TestAnswerInMalformedAnswer guards against a body of an answer with a malformed status that looks like an answer and is taken for
// one.
func TestAnswerInMalformedAnswer(t *testing.T) {
	crafted := rawHead("HTTP/1.1 200 OK", "r1", "Content-Length: 7") + "crafted"
	for _, head := range broken.Statuses() {
		t.Run(head.Name, func(t *testing.T) {
			t.Parallel()
			for _, call := range malformedCalls {
				checkMalformedAnswer(t, call.path, head.Spoil("HTTP/1.1 200 OK\r\n\r\n")+crafted, call.runs, call.text)
			}
		})
	}
}

// TestMalformedAnswerStays guards against a call that waits until its deadline because an answer with a malformed head is passed over,
// and its endpoint keeps the connection open.
func TestMalformedAnswerStays(t *testing.T) {
	for _, head := range broken.Heads() {
		t.Run(head.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			app := plat.NewEngine("app-0")
			app.CallHandler = rawHandler(func(c net.Conn, attempt string) {
				_, _ = io.WriteString(c, head.Spoil(rawHead("HTTP/1.1 200 OK", attempt, "Content-Length: 0")))
				_, _ = c.Read(make([]byte, 1))
			})
			s := start(t, false, app)
			begun := time.Now()
			checkOwnAnswer(is, s.send(t.Context(), t, http.MethodPost, "/book/1", "r1"))
			is.True(time.Since(begun) < 500*time.Millisecond) // the route's timeout is 1 s
		})
	}
}

// checkMalformedResumption checks that a stream whose engine broke off is not resumed with an answer that has a malformed head.
func checkMalformedResumption(t *testing.T, heads []broken.Head) {
	for _, head := range heads {
		t.Run(head.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			list := newEngines(2, 0)
			var calls atomic.Int32
			for _, e := range list {
				e.StreamHandler = rawHandler(func(c net.Conn, _ string) {
					sound := rawHead("HTTP/1.1 200 OK", "r1", chunkedLine)
					if calls.Add(1) > 1 {
						_, _ = io.WriteString(c, head.Spoil(sound+chunk(events(3, 5))+"0\r\n\r\n"))
						return
					}
					_, _ = io.WriteString(c, sound+chunk(events(1, 2)))
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

// TestResumptionWithMalformedStatus guards against events of an answer with a malformed status in a caller's stream.
func TestResumptionWithMalformedStatus(t *testing.T) { checkMalformedResumption(t, broken.Statuses()) }

// TestResumptionWithMalformedName guards against events, or other bytes, of an answer with a malformed field name in a caller's stream.
func TestResumptionWithMalformedName(t *testing.T) { checkMalformedResumption(t, broken.Names()) }

// TestResumptionWithFoldedLine guards against events, or other bytes, of an answer with a folded line in a caller's stream.
func TestResumptionWithFoldedLine(t *testing.T) { checkMalformedResumption(t, broken.Folds()) }

// TestMalformedTrailer guards against a trailer with a malformed name that reaches the caller, or that spoils the body before it.
func TestMalformedTrailer(t *testing.T) {
	for _, line := range []string{"X Sum: 1", "X-Sum : 1", "X-Sum: 1\r\n X-Broken: 1"} {
		t.Run(line, func(t *testing.T) {
			is := is.New(t)
			app := plat.NewEngine("app-0")
			app.CallHandler = rawHandler(func(c net.Conn, attempt string) {
				_, _ = io.WriteString(c, rawHead("HTTP/1.1 200 OK", attempt, chunkedLine)+chunk("ten bytes.")+"0\r\n"+line+"\r\n\r\n")
			})
			resp := start(t, false, app).send(t.Context(), t, http.MethodPost, "/book/1", "r1")
			got, err := readBody(resp)
			is.NoErr(err)
			is.Equal(got, "ten bytes.")
			for name := range resp.Header {
				is.True(!strings.Contains(name, "Sum") && !strings.Contains(name, "Broken"))
			}
		})
	}
}
