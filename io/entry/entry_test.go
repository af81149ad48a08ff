package entry_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"snipeshed/conf"
	"snipeshed/core"
	"snipeshed/core/budget"
	"snipeshed/core/member"
	"snipeshed/core/shard"
	"snipeshed/io/entry"
	"snipeshed/io/meter"
	"snipeshed/io/peer"
	"snipeshed/io/reply"
	"snipeshed/stand/fleet"
	"snipeshed/wire"
)

const key = "secret"

type fakeConfigSource struct {
	cfg   *core.Config
	stale error
}

func (s *fakeConfigSource) Config() *core.Config { return s.cfg }
func (s *fakeConfigSource) CheckFresh() error    { return s.stale }

// fakeOwner is a pool owner whose answers are set by the test.
type fakeOwner struct {
	serve    func(ctx context.Context, req *core.CallRequest, send func(*core.Frame) error) error
	canceled chan core.RequestID
}

func (o *fakeOwner) Serve(ctx context.Context, req *core.CallRequest, send func(*core.Frame) error) error {
	return o.serve(ctx, req, send)
}

func (o *fakeOwner) Cancel(_ context.Context, id core.RequestID) {
	select {
	case o.canceled <- id:
	default:
	}
}

func config() *core.Config {
	return &core.Config{
		Services: map[core.ServiceName]*wire.Service{
			"survey": {Name: "survey", Model: "m"}, "idle": {Name: "idle", Model: "none"}, "booking": {Name: "booking"},
		},
		Teams:     map[core.TeamName]*wire.Team{"t": {Name: "t", Services: []string{"survey", "idle"}}},
		Ranks:     map[core.RankName]*wire.Rank{"urgent": {Name: "urgent"}},
		Endpoints: map[core.EndpointID]*wire.Endpoint{"e": {Name: "e", Wanted: &wire.Wanted{Model: "m"}}},
		Keys:      map[string]core.Credential{fleet.KeyDigest(key): {Team: "t", Rank: "urgent"}},
	}
}

type testEntry struct {
	*httptest.Server
	entry   *entry.Entry
	owner   *fakeOwner
	src     *fakeConfigSource
	members *member.Membership
}

func startEntry(t *testing.T, change func(*conf.Settings)) *testEntry {
	t.Helper()
	cfg := &conf.Settings{Instance: "self", FailureDomain: "d", PlatformUrl: "http://127.0.0.1:1"}
	conf.SetDefaults(cfg)
	if change != nil {
		change(cfg)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	e := &testEntry{
		owner: &fakeOwner{canceled: make(chan core.RequestID, 1)}, src: &fakeConfigSource{cfg: config()},
		members: member.New(core.Peer{ID: "self"}, time.Second),
	}
	sh := shard.New(e.src.cfg, 16)
	e.entry = entry.New(entry.Deps{
		Common: core.NewCommon(log.WithField("test", t.Name())), Settings: cfg, Config: e.src,
		Members: e.members, Host: e.owner, Peer: peer.New(http.DefaultClient, 1<<20),
		Partition: func() *shard.Partition { return sh }, Meter: meter.New(), Budget: budget.New(), Services: delayedServices{},
	})
	e.Server = httptest.NewServer(e.entry)
	t.Cleanup(e.Close)
	return e
}

func (e *testEntry) post(t *testing.T, auth, body string) *http.Response {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, e.URL+"/v1/chat/completions", strings.NewReader(body))
	is.New(t).NoErr(err)
	r.Header.Set("Authorization", auth)
	resp, err := http.DefaultClient.Do(r)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

const chatBody = `{"model":"survey","stream":%t,"messages":[{"role":"user","content":"rust"}]}`

func sendStarted(send func(*core.Frame) error, gen core.GenerationID) error {
	return send(&core.Frame{Started: &core.ResumePoint{Endpoint: "e", Generation: gen}})
}

func sendToken(send func(*core.Frame) error, i core.Tokens) error {
	return send(&core.Frame{Event: &core.Event{Index: i, Text: fmt.Sprint(i, " ")}})
}

func sendDone(send func(*core.Frame) error, n core.Tokens) error {
	return send(&core.Frame{Event: &core.Event{Done: true, Tokens: n, FinishReason: "stop"}})
}

// TestRefusals checks that every refusal carries its kind, a remedy and run "not_run".
func TestRefusals(t *testing.T) {
	overloaded := &core.Error{Kind: core.KindOverloaded, Remedy: "wait", Execution: core.NotExecuted, RetryAfter: 1500 * time.Millisecond}
	tests := []struct {
		name    string
		auth    string
		body    string
		stale   error
		refusal error
		status  int
		kind    core.ErrorKind
		retry   string
	}{
		{name: "no key", auth: "", status: 401, kind: core.KindBadCredential},
		{name: "unknown key", auth: "Bearer x", status: 401, kind: core.KindBadCredential},
		{name: "malformed body", body: "{", status: 400, kind: core.KindBadRequest},
		{name: "no messages", body: `{"model":"survey"}`, status: 400, kind: core.KindBadRequest},
		{name: "body over the limit", body: strings.Repeat("x", 2000), status: 413, kind: core.KindBodyTooLarge},
		{name: "unknown model", body: `{"model":"x","messages":[{"role":"user","content":"a"}]}`, status: 404, kind: core.KindUnknownModel},
		{name: "application service as model", body: `{"model":"booking","messages":[{"role":"user","content":"a"}]}`, status: 404, kind: core.KindUnknownModel},
		{name: "model without endpoints", body: `{"model":"idle","messages":[{"role":"user","content":"a"}]}`, status: 503, kind: core.KindNoEndpoint, retry: "1"},
		{name: "configuration that is not known to be current", stale: &core.Error{Kind: core.KindStaleState, Remedy: "wait", Execution: core.NotExecuted}, status: 503, kind: core.KindStaleState},
		{name: "overloaded pool", refusal: overloaded, status: 429, kind: core.KindOverloaded, retry: "2"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := startEntry(t, func(s *conf.Settings) { s.MaxBodyBytes = 1024 })
			e.src.stale = tt.stale
			e.owner.serve = func(context.Context, *core.CallRequest, func(*core.Frame) error) error { return tt.refusal }
			auth, body := tt.auth, tt.body
			if tt.kind != core.KindBadCredential {
				auth = "Bearer " + key
			}
			if body == "" {
				body = fmt.Sprintf(chatBody, true)
			}
			resp := e.post(t, auth, body) //nolint:bodyclose // post closes it
			var got reply.Body
			is.NoErr(json.NewDecoder(resp.Body).Decode(&got))
			is.Equal(resp.StatusCode, tt.status)
			is.Equal(got.Error.Kind, tt.kind)
			is.Equal(got.Error.Run, core.NotExecuted)
			is.True(got.Error.Remedy != "")
			is.Equal(resp.Header.Get("Retry-After"), tt.retry)
		})
	}
}

// delayedServices responds after a delay.
type delayedServices struct{ entry.Services }

func (delayedServices) Serve(w http.ResponseWriter, r *http.Request, _ core.RequestID, _ core.Credential, _ core.ServiceName, _ string) {
	if r.Method == http.MethodPost {
		_, _ = io.Copy(io.Discard, r.Body) // the content does not matter
	}
	select {
	case <-r.Context().Done():
		w.WriteHeader(http.StatusTeapot)
	case <-time.After(300 * time.Millisecond):
	}
}

// TestCallOutlivesBodyTimeout guards against a read deadline that is set for a request without a body, which canceled it
// after body_timeout_ms.
func TestCallOutlivesBodyTimeout(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			is := is.New(t)
			e := startEntry(t, func(s *conf.Settings) { s.BodyTimeoutMs = 100 })
			r, err := http.NewRequest(method, e.URL+"/services/idle/x", strings.NewReader("body"))
			is.NoErr(err)
			if method == http.MethodGet {
				r.Body, r.ContentLength = nil, 0
			}
			r.Header.Set("Authorization", "Bearer "+key)
			resp, err := http.DefaultClient.Do(r)
			is.NoErr(err)
			defer resp.Body.Close()
			is.Equal(resp.StatusCode, http.StatusOK)
		})
	}
}

// TestBodyThatStops checks that a request whose body stops arriving fails after body_timeout_ms.
func TestBodyThatStops(t *testing.T) {
	is := is.New(t)
	e := startEntry(t, func(s *conf.Settings) { s.BodyTimeoutMs = 100 })
	c, err := net.Dial("tcp", e.Listener.Addr().String())
	is.NoErr(err)
	defer c.Close()
	fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n{", key)
	is.NoErr(c.SetReadDeadline(time.Now().Add(5 * time.Second)))
	line, err := bufio.NewReader(c).ReadString('\n')
	is.NoErr(err)
	is.True(strings.Contains(line, "400"))
}

// TestStreamOutlivesBodyTimeout checks that a stream may last longer than body_timeout_ms.
func TestStreamOutlivesBodyTimeout(t *testing.T) {
	is := is.New(t)
	e := startEntry(t, func(s *conf.Settings) { s.BodyTimeoutMs = 100 })
	e.owner.serve = func(ctx context.Context, _ *core.CallRequest, send func(*core.Frame) error) error {
		if err := sendStarted(send, "g"); err != nil {
			return err
		}
		for i := range core.Tokens(10) {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(30 * time.Millisecond):
			}
			if err := sendToken(send, i); err != nil {
				return err
			}
		}
		return sendDone(send, 10)
	}
	resp := e.post(t, "Bearer "+key, fmt.Sprintf(chatBody, true)) //nolint:bodyclose // post closes it
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.True(strings.HasSuffix(string(body), "data: [DONE]\n\n"))
}

// TestClientThatStopsReading checks that the generation of a client that stops reading is canceled after write_timeout_ms.
func TestClientThatStopsReading(t *testing.T) {
	is := is.New(t)
	e := startEntry(t, func(s *conf.Settings) { s.WriteTimeoutMs = 300 })
	e.owner.serve = func(_ context.Context, _ *core.CallRequest, send func(*core.Frame) error) error {
		if err := sendStarted(send, "g"); err != nil {
			return err
		}
		text := strings.Repeat("x", 1<<16)
		for i := core.Tokens(0); ; i++ {
			if err := send(&core.Frame{Event: &core.Event{Index: i, Text: text}}); err != nil {
				return err
			}
		}
	}
	c, err := net.Dial("tcp", e.Listener.Addr().String())
	is.NoErr(err)
	defer c.Close()
	body := fmt.Sprintf(chatBody, true)
	fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", key, len(body), body)
	_, err = bufio.NewReader(c).ReadString('\n')
	is.NoErr(err)
	select {
	case <-e.owner.canceled:
	case <-time.After(10 * time.Second):
		t.Fatal("the generation was not canceled")
	}
}

// TestClientGoneCancels checks that a generation is canceled when its client disconnects.
func TestClientGoneCancels(t *testing.T) {
	is := is.New(t)
	e := startEntry(t, nil)
	e.owner.serve = func(ctx context.Context, _ *core.CallRequest, send func(*core.Frame) error) error {
		if err := sendStarted(send, "g"); err != nil {
			return err
		}
		if err := sendToken(send, 0); err != nil {
			return err
		}
		<-ctx.Done()
		return ctx.Err()
	}
	resp := e.post(t, "Bearer "+key, fmt.Sprintf(chatBody, true))
	_, err := bufio.NewReader(resp.Body).ReadString('\n')
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	select {
	case <-e.owner.canceled:
	case <-time.After(5 * time.Second):
		t.Fatal("the owner got no cancellation")
	}
}

// TestRunOutcomeAcrossPools guards against a refusal by a second pool that reports "not_run" although the attempt in the
// first pool may have run.
func TestRunOutcomeAcrossPools(t *testing.T) {
	for _, first := range []core.Execution{core.NotExecuted, core.ExecutionUnknown} {
		t.Run(string(first), func(t *testing.T) {
			is := is.New(t)
			e := startEntry(t, nil)
			sh := shard.New(&core.Config{Endpoints: map[core.EndpointID]*wire.Endpoint{
				"e": {Wanted: &wire.Wanted{Model: "m"}}, "f": {Wanted: &wire.Wanted{Model: "m"}},
			}}, 1)
			e.entry.Partition = func() *shard.Partition { return sh }
			var pools []core.PoolID
			e.owner.serve = func(_ context.Context, req *core.CallRequest, _ func(*core.Frame) error) error {
				pools = append(pools, req.Pool)
				if len(pools) == 1 {
					return &core.Error{Kind: core.KindNoEndpoint, Execution: first}
				}
				return &core.Error{Kind: core.KindOverloaded, Execution: core.NotExecuted}
			}
			resp := e.post(t, "Bearer "+key, fmt.Sprintf(chatBody, true)) //nolint:bodyclose // post closes it
			var got reply.Body
			is.NoErr(json.NewDecoder(resp.Body).Decode(&got))
			is.Equal(len(pools), 2)
			is.True(pools[0] != pools[1])
			is.Equal(got.Error.Run, first)
		})
	}
}

// TestBrokenGeneration checks that a broken generation ends a started stream with an error event, and that an answer that is
// not streamed is generated again.
func TestBrokenGeneration(t *testing.T) {
	tests := []struct {
		name   string
		stream bool
		broken *core.Error
	}{
		{"stream, generation lost", true, &core.Error{Kind: core.KindStreamBroken, Execution: core.ExecutionUnknown}},
		{"stream, resume refused", true, &core.Error{Kind: core.KindNoEndpoint, Execution: core.NotExecuted}},
		{"whole, generation lost", false, &core.Error{Kind: core.KindStreamBroken, Execution: core.ExecutionUnknown}},
		{"whole, resume refused", false, &core.Error{Kind: core.KindNoEndpoint, Execution: core.NotExecuted}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := startEntry(t, nil)
			attempts := 0
			e.owner.serve = func(_ context.Context, req *core.CallRequest, send func(*core.Frame) error) error {
				attempts++
				is.NoErr(sendStarted(send, core.GenerationID(fmt.Sprint("g", attempts))))
				is.NoErr(sendToken(send, 0))
				if attempts == 1 {
					return tt.broken
				}
				is.Equal(req.Avoid, []string{"e"})
				return sendDone(send, 1)
			}
			resp := e.post(t, "Bearer "+key, fmt.Sprintf(chatBody, tt.stream)) //nolint:bodyclose // post closes it
			body, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			if !tt.stream {
				is.Equal(resp.StatusCode, 200) // generated again
				is.Equal(attempts, 2)
				return
			}
			is.Equal(attempts, 1) // a stream never combines two generations
			is.True(strings.Contains(string(body), "event: error"))
			is.True(strings.Contains(string(body), `"kind":"stream_broken"`))
			is.True(strings.Contains(string(body), `"run":"run"`) || tt.broken.Execution != core.NotExecuted)
			is.True(strings.Contains(string(body), `"tokens_delivered":1`))
			is.True(!strings.Contains(string(body), "[DONE]"))
		})
	}
}
