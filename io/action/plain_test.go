package action

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"snipeshed/conf"
	"snipeshed/core"
)

type noRetries struct{ unlimitedRetries }

func (noRetries) TakeRetry(core.TeamName, core.EndpointID) bool { return false }

// Guards against a second transmission of a call that may not be repeated, and against retries beyond the budget.
func TestPlain(t *testing.T) {
	tests := []struct {
		name   string
		method string
		faults []fault
		budget RetryBudget
		want   string
		sends  int
		single bool // whether the service has one endpoint instead of three
	}{
		{name: "no fault", method: "GET", want: ran, sends: 1},
		{name: "idempotent, answer lost, another endpoint answers", method: "GET", faults: []fault{{effect: answerLost}}, want: ran, sends: 2},
		{name: "idempotent, every answer lost", method: "PUT", faults: repeated(3, fault{effect: answerLost}), want: unknown, sends: 3},
		{name: "idempotent, budget spent", method: "GET", faults: []fault{{effect: answerLost}}, budget: noRetries{}, want: unknown, sends: 1},
		{name: "not idempotent, answer lost", method: "POST", faults: []fault{{effect: answerLost}}, want: unknown, sends: 1},
		{name: "not idempotent, connection refused once", method: "PATCH", faults: []fault{{effect: refused}}, want: ran, sends: 1},
		{name: "refused, then lost", method: "POST", faults: []fault{{effect: refused}, {effect: requestLost}}, want: unknown, sends: 1},
		{name: "every connection refused", method: "POST", faults: repeated(3, fault{effect: refused}), want: "no_endpoint/not_run", sends: 0},
		{name: "idempotent, connection silent, only endpoint", method: "GET", faults: []fault{{effect: silentConn}}, want: ran, sends: 2, single: true},
		{name: "idempotent, every connection silent", method: "GET", faults: repeated(3, fault{effect: silentConn}), want: unknown, sends: 3, single: true},
		{name: "idempotent, connection silent, budget spent", method: "GET", faults: []fault{{effect: silentConn}}, budget: noRetries{}, want: unknown, sends: 1, single: true},
		{name: "not idempotent, connection silent", method: "POST", faults: []fault{{effect: silentConn}}, want: unknown, sends: 1, single: true},
		{name: "only endpoint, answer lost", method: "GET", faults: []fault{{effect: answerLost}}, want: unknown, sends: 1, single: true},
		{name: "no answer before the deadline", method: "GET", faults: []fault{{effect: slow, wait: time.Minute}}, want: "deadline/unknown", sends: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				addresses := []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}
				if tt.single {
					addresses = addresses[:1]
				}
				cl := newCluster(1, addresses...)
				cl.endpoint.faults = tt.faults
				if tt.budget != nil {
					cl.instances[0].retryBudget = tt.budget
				}
				is.Equal(cl.call(0, tt.method, "/notes", "k", "b", 10*time.Second), tt.want)
				is.Equal(cl.endpoint.sends["k"], tt.sends)
				is.Equal(cl.store.putCount(), 0)
				is.NoErr(cl.close(time.Minute))
			})
		})
	}
}

// Guards against calls that reach an endpoint although they must be refused, in particular protected actions that would be
// sent without protection.
func TestRefusals(t *testing.T) {
	tests := []struct {
		name, method, path, service, team string
		header                            http.Header
		body                              string
		down                              bool
		unusable                          bool
		want                              string
	}{
		{name: "protected without a key", path: "/confirm", want: "bad_request/not_run"},
		{name: "protected path in another case", path: "/Confirm/7", want: "bad_request/not_run"},
		{name: "dot segments that lead to a protected path", path: "/notes/../confirm", want: "bad_request/not_run"},
		{name: "empty segment before a protected path", path: "//confirm", want: "bad_request/not_run"},
		{name: "two keys", path: "/confirm", header: http.Header{headerIdempotencyKey: {"a", "b"}}, want: "bad_request/not_run"},
		{name: "key too long", path: "/confirm", header: http.Header{headerIdempotencyKey: {strings.Repeat("k", 256)}}, want: "bad_request/not_run"},
		{name: "bad timeout", path: "/notes", header: http.Header{headerTimeout: {"-1"}}, want: "bad_request/not_run"},
		{name: "body too large", path: "/notes", body: strings.Repeat("b", 4<<20+1), want: "body_too_large/not_run"},
		{name: "service that does not exist", path: "/notes", service: "none", want: "unknown_service/not_run"},
		{name: "service that the team may not call", path: "/notes", team: "tartu", want: "bad_credential/not_run"},
		{name: "store known to be down", path: "/confirm", header: http.Header{headerIdempotencyKey: {"k"}}, down: true, want: storeIsDown},
		{name: "no usable endpoint", path: "/confirm", header: http.Header{headerIdempotencyKey: {"k"}}, unusable: true, want: "no_endpoint/not_run"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			cl := newCluster(1, "10.0.0.1:1")
			cl.store.SetDown(tt.down)
			cl.instances[0].endpointUsable = func(core.EndpointID, string) bool { return !tt.unusable }
			r := httptest.NewRequest("POST", "/services/swaps/x", strings.NewReader(tt.body))
			for name, values := range tt.header {
				r.Header[name] = values
			}
			if tt.service == "" {
				tt.service = "swaps"
			}
			if tt.team == "" {
				tt.team = "tallinn"
			}
			rec := httptest.NewRecorder()
			cl.instances[0].Serve(rec, r, "r1", core.Credential{Team: core.TeamName(tt.team)}, core.ServiceName(tt.service), tt.path)
			is.Equal(outcome(rec), tt.want)
			is.Equal(len(cl.endpoint.sends), 0)
			is.Equal(cl.store.putCount(), 0)
			is.NoErr(cl.close(time.Minute))
		})
	}
}

// Guards against net/http's built-in retry: it repeats a request that has an Idempotency-Key header and no body, even a
// POST, when a reused connection is lost.
func TestTransportSendsOnce(t *testing.T) {
	for _, path := range []string{"/notes", "/confirm"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			var posts atomic.Int32
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodPost {
					posts.Add(1)
					is.Equal(r.ContentLength, int64(0))
					is.Equal(r.Header.Get(headerIdempotencyKey), "k")
					panic(http.ErrAbortHandler)
				}
			}))
			defer srv.Close()
			cl := newCluster(1)
			cl.instances[0] = New(quietShared(), cl.store, testConfig(srv.Listener.Addr().String()))
			is.Equal(cl.call(0, "GET", "/notes", "", "", time.Second), "") // leaves a connection open
			is.Equal(cl.call(0, "POST", path, "k", "", time.Second), unknown)
			is.Equal(posts.Load(), int32(1))
			is.NoErr(cl.close(time.Minute))
		})
	}
}

// Guards against leaked credentials, spoofed fencing numbers, followed redirects and forwarded hop-by-hop headers.
func TestHeaders(t *testing.T) {
	is := is.New(t)
	got := make(chan http.Header, 1)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got <- r.Header
		w.Header().Set("Location", "/elsewhere")
		w.Header().Set("Keep-Alive", "timeout=5")
		w.Header().Set("X-Answer", "1")
		w.WriteHeader(http.StatusTemporaryRedirect)
	}))
	defer srv.Close()
	a := New(quietShared(), newFaultyStore(), testConfig(srv.Listener.Addr().String()))
	r := httptest.NewRequest("POST", "/services/swaps/notes", strings.NewReader("b"))
	for name, value := range map[string]string{
		"Authorization": "Bearer secret", "Fencing-Number": "99", "Connection": "X-Private", "X-Private": "1",
		"X-HTTP-Method-Override": "DELETE", "X-Kept": "1", "Snipeshed-Timeout-Ms": "5000",
	} {
		r.Header.Set(name, value)
	}
	rec := httptest.NewRecorder()
	a.Serve(rec, r, "r1", core.Credential{Team: "tallinn"}, "swaps", "notes")
	h := <-got
	for _, name := range []string{"Authorization", "Fencing-Number", "X-Private", "X-Http-Method-Override"} {
		is.Equal(h.Get(name), "")
	}
	is.Equal(h.Get("X-Kept"), "1")
	is.Equal(h.Get("Request-Id"), "r1")
	is.True(h.Get(headerTimeout) != "")
	is.Equal(rec.Code, http.StatusTemporaryRedirect)
	is.Equal(rec.Header().Get("X-Answer"), "1")
	is.Equal(rec.Header().Get("Keep-Alive"), "")
	is.NoErr(a.Close(t.Context()))
}

// Guards against an incomplete answer that looks complete to the client.
func TestBrokenAnswer(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n")
		c.Close()
	}()
	a := New(quietShared(), newFaultyStore(), testConfig(l.Addr().String()))
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.Serve(w, r, "r1", core.Credential{Team: "tallinn"}, "swaps", "/notes")
	}))
	defer front.Close()
	resp, err := front.Client().Get(front.URL)
	is.NoErr(err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	is.Equal(string(b), "half")
	is.True(err != nil)
	is.NoErr(a.Close(t.Context()))
}

// Guards against results that are truncated when they are recorded, and checks what a lookup shows for each.
func TestLargeResults(t *testing.T) {
	tests := []struct {
		name, answer  string
		first, second string
		lookup        string
	}{
		{name: "recorded whole", answer: "1234", first: "1234", second: "1234 replayed", lookup: `"body":"MTIzNA=="`},
		{name: "too large to record", answer: "12345", first: "12345", second: "outcome_unknown/run", lookup: `"body_omitted":true`},
		{name: "too large to relay", answer: "123456789", first: "outcome_unknown/run", second: "outcome_unknown/run", lookup: `"body_omitted":true`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			cl := newCluster(1, "10.0.0.1:1")
			cfg := &conf.Settings{MaxBodyBytes: 8}
			conf.SetDefaults(cfg)
			limit := int64(4)
			cfg.ActionResultBytes = &limit
			cl.instances[0].cfg, cl.endpoint.answer = cfg, tt.answer
			is.Equal(cl.call(0, "POST", "/confirm", "k", "b", time.Second), tt.first)
			is.Equal(cl.call(0, "POST", "/confirm", "k", "b", time.Second), tt.second)
			is.True(strings.Contains(cl.lookup("k"), tt.lookup))
			is.Equal(cl.endpoint.runs["k"], 1)
			is.NoErr(cl.close(time.Minute))
		})
	}
}

func (cl *cluster) lookup(key string) string {
	rec := httptest.NewRecorder()
	cl.instances[0].Lookup(rec, httptest.NewRequest("GET", "/v1/actions/swaps/"+key, nil), "r1",
		core.Credential{Team: "tallinn"}, "swaps", key)
	return rec.Body.String()
}

// Guards against a lookup that reports a state that does not follow from the record.
func TestLookup(t *testing.T) {
	tests := []struct {
		name   string
		faults []fault
		keys   string
		wait   time.Duration
		down   bool
		want   string
	}{
		{name: "done", want: `"state":"done","run":"run","attempt":1`},
		{name: "not run", faults: []fault{{effect: refused}}, want: `"state":"not_run","run":"not_run","attempt":1`},
		{name: "in progress", faults: []fault{{effect: answerLost}}, want: `"state":"in_progress","run":"unknown"`},
		{name: "outcome unknown", faults: []fault{{effect: answerLost}}, wait: time.Minute, want: `"state":"outcome_unknown","run":"unknown"`},
		{name: "no record", keys: "other", want: `"kind":"not_found","message":"no action of service \"swaps\" is recorded with this key"`},
		{name: "store down", down: true, want: `"kind":"store_down"`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				cl := newCluster(1, "10.0.0.1:1")
				cl.endpoint.faults = tt.faults
				cl.call(0, "POST", "/confirm", "k"+tt.keys, "b", 10*time.Second)
				time.Sleep(tt.wait)
				if tt.down {
					cl.store.getFaults = []fault{{effect: refused}}
				}
				is.True(strings.Contains(cl.lookup("k"), tt.want))
				is.NoErr(cl.close(time.Minute))
			})
		})
	}
}
