package gate_test

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/stand/broken"
	"snipeshed/stand/plat"
	"snipeshed/stand/revs"
)

const (
	smallUpload = 100       // bytes
	largeUpload = 900 << 10 // bytes
	// earlyAnswers is how often each case is tried, as it depends on whether the reader or the writer is told of a reset.
	earlyAnswers = 5
)

// earlyHeads are the status lines of answers without a length.
var earlyHeads = []string{"HTTP/1.1 200 OK", "HTTP/1.0 200 OK"}

// earlyEndpoints are endpoints that answer each call before they have read its body.
type earlyEndpoints struct {
	*system
	calls atomic.Int32
}

// startEarly starts a gate with two endpoints of each service, which answer with events 1 and 2, or with those after Last-Event-Id, and
// end the answer in the given way.
func startEarly(t *testing.T, ending broken.Ending, statusLine string) *earlyEndpoints {
	t.Helper()
	is := is.New(t)
	s := &earlyEndpoints{system: start(t, false)}
	s.allowUploads()
	answer := func(r *http.Request) string {
		text := events(1, 2)
		if r.Header.Get("Last-Event-Id") != "" {
			text = events(3, 4)
		}
		if r.URL.Path != "/kv-move" { // with which a lost generation is stopped
			s.calls.Add(1)
		}
		return rawHead(statusLine, r.Header.Get("Snipeshed-Attempt-Id")) + text
	}
	raw := map[string][]byte{}
	for i, service := range []string{"app", "app", "lm", "lm"} {
		server, err := broken.StartEarly(ending, answer)
		is.NoErr(err)
		t.Cleanup(server.Close)
		raw[fmt.Sprint(service, i)] = earlyEndpointJSON(service, server)
	}
	s.news.ReplaceEndpoints(revs.At(1), raw, "test")
	return s
}

// allowUploads puts a configuration into force that allows large bodies.
func (s *system) allowUploads() {
	config := strings.Replace(fmt.Sprintf(configFormat, 2, false), `"max_body_bytes":1000`, `"max_body_bytes":1000000`, 1)
	s.news.UpdateConfig([]byte(config), "test")
}

func earlyEndpointJSON(service string, server *broken.Server) []byte {
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"d1","slots":8,"state":"ready","born":1}`, service, server.Address())
}

// sendUpload sends a call with a body of some bytes, and returns the status and the text of its answer and whether it looks complete.
func (s *system) sendUpload(t *testing.T, path string, size int) (status int, text string, complete bool) {
	t.Helper()
	is := is.New(t)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.URL+path, bytes.NewReader(make([]byte, size)))
	is.NoErr(err)
	req.Host = "a.example"
	req.Header.Set("Snipeshed-Attempt-Id", "r1")
	req.Header.Set("Api-Key", "k1")
	req.Header.Set("Snipeshed-Token-Count", "100,10")
	resp, err := http.DefaultClient.Do(req) //nolint:bodyclose // readBody closes it
	is.NoErr(err)
	text, err = readBody(&reply{Body: resp.Body})
	return resp.StatusCode, text, err == nil
}

// TestBrokenEarlyAnswer guards against a part of an answer that a caller gets as a complete one, because the endpoint reset the
// connection while the body of the call was still being written, and against a call that may have run and is sent again.
func TestBrokenEarlyAnswer(t *testing.T) {
	for _, statusLine := range earlyHeads {
		for _, ending := range broken.BreakOffs() {
			for _, size := range []int{smallUpload, 5 << 10, 70 << 10, largeUpload} {
				if ending.NeedsUpload && size <= 5<<10 {
					continue // the endpoint has read all of it
				}
				t.Run(fmt.Sprintf("%s/%s/%d bytes", statusLine, ending.Name, size), func(t *testing.T) {
					t.Parallel()
					for range earlyAnswers {
						checkBrokenEarlyAnswer(t, ending, statusLine, size)
					}
				})
			}
		}
	}
}

func checkBrokenEarlyAnswer(t *testing.T, ending broken.Ending, statusLine string, size int) {
	t.Helper()
	s := startEarly(t, ending, statusLine)
	for _, tt := range []struct {
		path   string
		calls  int32
		status int
		text   string
	}{
		{"/book/1", 1, http.StatusBadGateway, "outcome unknown: "},
		{"/look/1", 2, http.StatusBadGateway, "outcome unknown: "},
		{"/long/stream", 1, http.StatusOK, events(1, 2)},
		{"/short/stream", 2, http.StatusOK, events(1, 4)},
	} {
		s.calls.Store(0)
		status, text, complete := s.sendUpload(t, tt.path, size)
		if complete && status < 300 || status != tt.status || !strings.HasPrefix(text, tt.text) || s.calls.Load() != tt.calls {
			t.Errorf("%s: status %d, complete %t, %d calls, text %q", tt.path, status, complete, s.calls.Load(), text)
		}
	}
}

// TestOrderlyEarlyAnswer guards against a complete answer without a length that counts as broken because the endpoint takes no more of
// the call's body.
func TestOrderlyEarlyAnswer(t *testing.T) {
	for _, statusLine := range earlyHeads {
		for _, ending := range broken.OrderlyEndings() {
			for _, size := range []int{smallUpload, largeUpload} {
				t.Run(fmt.Sprintf("%s/%s/%d bytes", statusLine, ending.Name, size), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					s := startEarly(t, ending, statusLine)
					for _, path := range []string{"/book/1", "/look/1", "/long/stream", "/short/stream"} {
						status, text, complete := s.sendUpload(t, path, size)
						is.Equal(status, http.StatusOK)
						is.Equal(text, events(1, 2))
						is.True(complete)
					}
					is.Equal(s.calls.Load(), int32(4))
				})
			}
		}
	}
}

// TestBrokenEarlyAnswerToCopy guards against a part of a stream that looks complete because the engine which went on with it from the
// copy of its memory reset the connection while the request was still being written.
func TestBrokenEarlyAnswerToCopy(t *testing.T) {
	for _, ending := range broken.BreakOffs() {
		t.Run(ending.Name, func(t *testing.T) {
			t.Parallel()
			for range earlyAnswers {
				text, complete := moveToEarly(t, ending)
				is.New(t).True(!complete)
				is.New(t).Equal(text, events(1, 8))
			}
		})
	}
}

// TestOrderlyEarlyAnswerToCopy guards against a complete stream that counts as broken after it went on from the copy of its memory.
func TestOrderlyEarlyAnswerToCopy(t *testing.T) {
	text, complete := moveToEarly(t, broken.OrderlyEndings()[0])
	is.New(t).True(complete)
	is.New(t).Equal(text, events(1, 8))
}

// moveToEarly sends a stream whose engine leaves after 5 events, and returns what the caller gets. The engine that goes on from the copy
// sends 3 events before it has read the request, and ends its answer in the given way.
func moveToEarly(t *testing.T, ending broken.Ending) (text string, complete bool) {
	t.Helper()
	is := is.New(t)
	source := plat.NewEngine("lm-1")
	answerMove(source, broken.Framed(http.StatusOK, `{"handle":"h2","created":5}`), nil)
	target, err := broken.StartEarly(ending, func(r *http.Request) string {
		if r.Header.Get("Kv-From") == "" {
			return broken.Framed(http.StatusNotFound, "")
		}
		return rawHead("HTTP/1.1 200 OK", "r1") + events(6, 8)
	})
	is.NoErr(err)
	defer target.Close()
	s := start(t, false, source)
	s.allowUploads()
	var calling sync.WaitGroup
	calling.Go(func() { _, text, complete = s.sendUpload(t, "/long/stream", largeUpload) })
	eventually(t, "the stream runs", func() bool { return source.StartCount("r1") > 0 })
	time.Sleep(50 * time.Millisecond) // lets the gate deliver the events
	s.news.ReplaceEndpoints(revs.At(2), map[string][]byte{source.ID: endpointJSON(source, "ready"), "lm-2": earlyEndpointJSON("lm", target)}, "test")
	s.markLeaving(source)
	calling.Wait()
	return text, complete
}
