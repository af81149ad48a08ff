package gate_test

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/stand/plat"
)

// TestOutcomes guards against a protected call that runs twice, and against a response that claims a known outcome when
// the outcome is unknown.
func TestOutcomes(t *testing.T) {
	notRun := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Snipeshed-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	failed := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	cut := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	half := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("half"))
	}
	unsealed := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Del("Snipeshed-Server-Seal")
		_, _ = w.Write([]byte("spoiled"))
	}
	encoded := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Encoding", "gzip")
		_, _ = w.Write([]byte("spoiled"))
	}
	for _, tt := range []struct {
		name   string
		path   string
		answer http.HandlerFunc
		status int
		runs   int
	}{
		{"idempotent, the endpoint fails", "/look/1", failed, 500, 2},
		{"idempotent, no answer", "/look/1", cut, 502, 2},
		{"idempotent, half an answer", "/look/1", half, 502, 2},
		{"idempotent, no digest", "/look/1", unsealed, 502, 2},
		{"idempotent, an encoding that was not requested", "/look/1", encoded, 502, 2},
		{"idempotent, declined twice", "/look/1", notRun, 503, 2},
		{"protected, the endpoint fails", "/book/1", failed, 500, 1},
		{"protected, no answer", "/book/1", cut, 502, 1},
		{"protected, half an answer", "/book/1", half, 502, 1},
		{"protected, no digest", "/book/1", unsealed, 502, 1},
		{"protected, declined twice", "/book/1", notRun, 503, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a, b := plat.NewEngine("app-a"), plat.NewEngine("app-b")
			a.CallHandler, b.CallHandler = tt.answer, tt.answer
			s := start(t, false, a, b)
			resp := s.send(t.Context(), t, http.MethodPost, tt.path, "r1")
			body(resp)
			is.Equal(resp.StatusCode, tt.status)
			is.Equal(a.StartCount("r1")+b.StartCount("r1"), tt.runs)
			is.Equal(resp.Header.Get("Retry-After") != "", tt.status == 503) // only a refusal says when to retry
		})
	}
}

// TestAnotherEndpointAnswers guards against a call that fails although another endpoint could serve it.
func TestAnotherEndpointAnswers(t *testing.T) {
	var calls atomic.Int32
	first := func(then http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if calls.Add(1) == 1 {
				then(w, r)
				return
			}
			_, _ = w.Write([]byte("fine"))
		}
	}
	for _, tt := range []struct {
		name string
		path string
		then http.HandlerFunc
	}{
		{"idempotent after a failure", "/look/1", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }},
		{"idempotent after silence", "/look/1", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }},
		{"protected after a refusal", "/book/1", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Snipeshed-Not-Executed", "1")
			w.WriteHeader(503)
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			calls.Store(0)
			a, b := plat.NewEngine("app-a"), plat.NewEngine("app-b")
			a.CallHandler, b.CallHandler = first(tt.then), first(tt.then)
			s := start(t, false, a, b)
			resp := s.send(t.Context(), t, http.MethodPost, tt.path, "r1")
			is.Equal(body(resp), "fine")
			is.Equal(resp.StatusCode, http.StatusOK)
		})
	}
}

// TestGoneEndpoint guards against calls that fail because an endpoint stopped without a notice.
func TestGoneEndpoint(t *testing.T) {
	is := is.New(t)
	a, b := plat.NewEngine("app-a"), plat.NewEngine("app-b")
	s := start(t, false, a, b)
	a.Close()
	for i := range 10 {
		resp := s.send(t.Context(), t, http.MethodPost, "/book/1", string(rune('a'+i)))
		body(resp)
		is.Equal(resp.StatusCode, http.StatusOK)
	}
	is.True(time.Now().Before(s.fleet.Get("app-a").UnreachableUntil)) // excluded from the choice for a while
}

// TestRefusals guards against calls that wait although no endpoint can serve them, and against wrong status codes.
func TestRefusals(t *testing.T) {
	is := is.New(t)
	e := plat.NewEngine("lm-1")
	s := start(t, false, e)
	for _, tt := range []struct {
		name, host, path, key string
		status                int
	}{
		{"no endpoint of the service", "a.example", "/look/1", "k1", 503},
		{"unknown path", "a.example", "/none/1", "k1", 404},
		{"unknown host", "b.example", "/look/1", "k1", 404},
		{"unknown key", "a.example", "/look/1", "k2", 401},
		{"no key", "a.example", "/look/1", "", 401},
	} {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, s.URL+tt.path, http.NoBody)
		is.NoErr(err)
		req.Host = tt.host
		req.Header.Set("Api-Key", tt.key)
		begun := time.Now()
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		resp.Body.Close()
		is.Equal(resp.StatusCode, tt.status)              // tt.name
		is.True(time.Since(begun) < 300*time.Millisecond) // without waiting
	}
	resp := s.send(t.Context(), t, http.MethodPost, "/look/1", "r1", "Snipeshed-Token-Count", "1,1")
	body(resp)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
}

// TestNoConfig guards against a permanent error from an instance that has no configuration yet; the caller must retry.
func TestNoConfig(t *testing.T) {
	is := is.New(t)
	s := start(t, false)
	resp := s.send(t.Context(), t, http.MethodPost, "/look/1", "r1")
	body(resp)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(resp.Header.Get("Retry-After") != "")
}

// TestHeaders guards against callers that set internal headers, and against API keys that are forwarded to endpoints.
func TestHeaders(t *testing.T) {
	is := is.New(t)
	e := plat.NewEngine("app-a")
	s := start(t, false, e)
	resp := s.send(t.Context(), t, http.MethodPost, "/book/1?q=%2F&r", "r1",
		"Snipeshed-Tenant", "forged", "Snipeshed-Hold", "h", "Kv-From", "1.2.3.4:5/x", "Snipeshed-Request-Urgency", "0",
		"Snipeshed-Pin-Ms", "1000", "Snipeshed-Kv-Backup", "1.2.3.4:5", "Connection", "Snipeshed-Token-Count, X-Hop", "X-Hop", "1",
		"X-Other", "kept")
	is.Equal(body(resp), "answer of app-a to /book/1?q=%2F&r")
	h, sent := e.ReceivedRequest("r1")
	is.Equal(sent, "xxxxxxxxxx")
	is.Equal(h.Get("Snipeshed-Tenant"), "north")
	is.Equal(h.Get("Snipeshed-Token-Count"), "1000,100")
	is.Equal(h.Get("X-Other"), "kept")
	is.Equal(h.Get("Snipeshed-Expect-Instance"), "app-a")
	for _, name := range []string{"Api-Key", "Snipeshed-Hold", "Kv-From", "Snipeshed-Request-Urgency", "Snipeshed-Pin-Ms", "Snipeshed-Kv-Backup", "X-Hop"} {
		is.Equal(h.Get(name), "") // name
	}
}

// TestReusedAddress guards against a call that runs at the wrong endpoint because an address was assigned to another one.
func TestReusedAddress(t *testing.T) {
	is := is.New(t)
	a, b := plat.NewEngine("app-a"), plat.NewEngine("app-b")
	s := start(t, false, a, b)
	a.ID = "lm-9" // the address now belongs to another endpoint
	for i := range 6 {
		resp := s.send(t.Context(), t, http.MethodPost, "/book/1", string(rune('a'+i)))
		body(resp)
		is.Equal(resp.StatusCode, http.StatusOK)
	}
	is.Equal(a.AttemptCount(), 0)
}

// TestLateConfig guards against an older configuration that arrives late and replaces a newer one.
func TestLateConfig(t *testing.T) {
	is := is.New(t)
	s := start(t, false, plat.NewEngine("app-a"))
	s.news.UpdateConfig([]byte(`{"version":5,"routes":[],"services":[]}`), "test")
	s.news.UpdateConfig([]byte(`{"version":4,"routes":[{"name":"x","host":"a.example","path_prefix":"/look/","kind":"idempotent","service":"app"}],"services":[]}`), "test")
	resp := s.send(t.Context(), t, http.MethodPost, "/look/1", "r1")
	body(resp)
	is.Equal(resp.StatusCode, http.StatusNotFound)
}

// TestTooManyOpen guards against an instance that runs out of file descriptors during a surge of calls.
func TestTooManyOpen(t *testing.T) {
	is := is.New(t)
	e := plat.NewEngine("app-a")
	s := start(t, false, e)
	s.gate.Meter.OpenCalls.Add(maxOpen)
	resp := s.send(t.Context(), t, http.MethodPost, "/book/1", "r1")
	body(resp)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(e.StartCount("r1"), 0)
	s.gate.Meter.OpenCalls.Add(-maxOpen)
	resp = s.send(t.Context(), t, http.MethodPost, "/book/1", "r2")
	body(resp)
	is.Equal(resp.StatusCode, http.StatusOK)
}

// TestBodyLimit guards against request bodies above the configured limit when their length is not declared.
func TestBodyLimit(t *testing.T) {
	is := is.New(t)
	s := start(t, false, plat.NewEngine("app-a"))
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.URL+"/book/1", http.NoBody)
	is.NoErr(err)
	req.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", 2000))) // sent without Content-Length
	req.ContentLength = -1
	req.Host = "a.example"
	req.Header.Set("Api-Key", "k1")
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
}
