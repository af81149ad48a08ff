package gate_test

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/stand/broken"
	"snipeshed/stand/plat"
)

// writeRaw writes an answer as it is in place of that of an HTTP handler.
func writeRaw(w http.ResponseWriter, answer string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer c.Close()
	_, _ = io.WriteString(c, answer)
}

// answerMove sends events 1 to 5 of a stream without a length until the engine is told to stop it, and answers that with a malformed head
// that seems to say that the generation has ended. Asked to go on from its copy, an engine sends what rest tells.
func answerMove(e *plat.Engine, stopAnswer string, rest http.HandlerFunc) {
	stopped := make(chan struct{})
	e.StreamHandler = func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Kv-From") != "" {
			rest(w, r)
			return
		}
		unframedUntil(stopped, "HTTP/1.1 200 OK", nil, events(1, 5), false)(w, r)
	}
	e.MoveFilter = func(w http.ResponseWriter, last bool) bool {
		if !last {
			_, _ = io.WriteString(w, `{"handle":"h1","created":5}`)
			return false
		}
		close(stopped)
		time.Sleep(50 * time.Millisecond) // lets the end of the stream arrive first
		writeRaw(w, stopAnswer)
		return false
	}
}

// TestMalformedAnswerToMove guards against a stream that looks complete because its engine, asked to stop it, answered with a malformed
// head that seems to say that the generation had ended by itself.
func TestMalformedAnswerToMove(t *testing.T) {
	for _, head := range broken.Names() {
		t.Run(head.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			got, err := moveStream(t, head.Spoil(broken.Framed(http.StatusNotFound, "{}")), func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, events(6, 10))
			})
			is.NoErr(err)
			is.Equal(got, events(1, 10))
		})
	}
}

// moveStream sends a stream whose engine leaves, and returns what the caller gets. The engine answers stopAnswer when it is asked to stop
// the stream, and the engine that is to go on sends rest.
func moveStream(t *testing.T, stopAnswer string, rest http.HandlerFunc) (string, error) {
	t.Helper()
	list := newEngines(2, 0)
	for _, e := range list {
		answerMove(e, stopAnswer, rest)
	}
	s := start(t, false, list...)
	resp := s.send(t.Context(), t, http.MethodPost, "/long/stream", "r1")
	var source *plat.Engine
	eventually(t, "the stream runs", func() bool {
		for _, e := range list {
			if e.StartCount("r1") > 0 {
				source = e
			}
		}
		return source != nil
	})
	time.Sleep(50 * time.Millisecond) // lets the gate deliver the events
	s.markLeaving(source)
	return readBody(resp)
}

// TestMalformedAnswerToCopy guards against bytes of a malformed answer in a stream that goes on from the copy of its memory.
func TestMalformedAnswerToCopy(t *testing.T) {
	for _, head := range append(broken.Heads(), broken.Folds()...) {
		t.Run(head.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			got, err := moveStream(t, broken.Framed(http.StatusOK, `{"handle":"h2","created":5}`), func(w http.ResponseWriter, _ *http.Request) {
				writeRaw(w, head.Spoil(rawHead("HTTP/1.1 200 OK", "r1", chunkedLine)+chunk(events(6, 10))+"0\r\n\r\n"))
			})
			is.True(err != nil) // the caller sees that the stream broke off
			is.Equal(got, events(1, 5))
		})
	}
}

// TestMalformedStatusReport guards against an engine that counts as ended because its answer to a status request has a malformed head:
// the prompts that it lost would count as what ended it.
func TestMalformedStatusReport(t *testing.T) {
	for _, head := range broken.Heads() {
		t.Run(head.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			list := newEngines(1, 0)
			list[0].StreamHandler = breakAfterHead
			var asked atomic.Int32
			list[0].ReportHandler = func(w http.ResponseWriter, _ *http.Request) {
				asked.Add(1)
				writeRaw(w, head.Spoil(broken.Framed(http.StatusOK, `{"state":"ready","born":1}`)))
			}
			s := start(t, false, list...)
			status, _ := s.sendPrompt(t, "/long/stream", "r1", soundParts)
			is.Equal(status, http.StatusBadGateway)
			eventually(t, "the engine was asked", func() bool { return asked.Load() > 0 })
			time.Sleep(100 * time.Millisecond) // lets the gate read the answer
			is.True(!s.logged("engine_crashed"))
		})
	}
}
