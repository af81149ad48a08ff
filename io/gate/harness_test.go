package gate_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"snipeshed/core"
	"snipeshed/core/allow"
	"snipeshed/core/blame"
	"snipeshed/core/cold"
	"snipeshed/core/expect"
	"snipeshed/core/fleet"
	"snipeshed/core/place"
	"snipeshed/core/spent"
	"snipeshed/core/tally"
	"snipeshed/io/dial"
	"snipeshed/io/event"
	"snipeshed/io/gate"
	"snipeshed/io/news"
	"snipeshed/platform"
	"snipeshed/stand/plat"
	"snipeshed/stand/revs"
)

const configFormat = `{"version":%d,"routes":[
 {"name":"look","host":"a.example","path_prefix":"/look/","kind":"idempotent","timeout_ms":1000,"latency_goal_ms":100,"service":"app","max_attempts":2},
 {"name":"book","host":"a.example","path_prefix":"/book/","kind":"non_idempotent","timeout_ms":1000,"latency_goal_ms":100,"service":"app","max_attempts":2},
 {"name":"long","host":"a.example","path_prefix":"/long/","kind":"streaming","timeout_ms":5000,"latency_goal_ms":1000,"gap_target_ms":200,"service":"lm","max_attempts":1},
 {"name":"short","host":"a.example","path_prefix":"/short/","kind":"streaming","timeout_ms":3000,"latency_goal_ms":1000,"gap_target_ms":200,"service":"lm","max_attempts":2,"resumable":true}],
 "services":[{"name":"app","max_conns":100},{"name":"lm","max_conns":100,"engine":{"slots":8,"kv_capacity_tokens":10000,"kv_token_bytes":1000,"link_mbps":14000,"moves":true,"backups":%t,"stride":1,"hold_ms":1000}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":1000},
 "tenants":[{"name":"north","api_keys":["k1"]}]}`

const maxOpen = 40

// system is a gate with simulated engines behind it.
type system struct {
	*httptest.Server
	gate  *gate.Gate
	fleet *fleet.Endpoints
	news  *news.News
	loads *tally.LoadTable
	blame *blame.Tracker
	log   *logBuffer
}

// logBuffer collects log lines.
type logBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// start runs a gate that knows the engines. Those whose id starts with "app" serve a plain service, the others are model
// engines.
func start(t *testing.T, backups bool, engines ...*plat.Engine) *system {
	t.Helper()
	s := &system{log: &logBuffer{}, loads: tally.New(), blame: blame.New()}
	log := event.New(s.log, "edge-1", logrus.InfoLevel)
	s.fleet = fleet.New(func(id core.EndpointID) { s.gate.OnEndpointLeaving(id) },
		fleet.WithRestartHook(func(inc core.Incarnation) { s.gate.OnEndpointRestarted(inc) }))
	s.news = news.New(platform.Decoder{}, s.fleet, log, func(string) {})
	mover := platform.NewMover(platform.WithReplyObserver(func(e core.Endpoint, r core.ReplyHeaders) { s.gate.ObserveReply(e, r) }))
	d := dial.New(platform.Codec{})
	s.gate = gate.New(gate.Deps{
		Codec: platform.Codec{}, Mover: mover, News: s.news, Endpoints: s.fleet, Loads: s.loads, Selector: place.New("d1", s.loads),
		Retries: allow.New(0.2, 100, 10*time.Second), Client: d, Lengths: expect.New(), Spent: spent.New(), Log: log, Meter: gate.NewMeter(),
		Cold: cold.New(0, 0, nil), Blame: s.blame, NotifyPeers: func(core.FailureDomain, bool) {}, SyncPeers: func() {}, Instances: func() int { return 1 }, FleetSize: func() int { return 1 }, MayLoad: func() bool { return true },
	}, 1<<20, maxOpen)
	s.Server = httptest.NewServer(s.gate)
	t.Cleanup(func() {
		s.Close()
		d.Close()
		mover.Close()
		log.Close()
		for _, e := range engines {
			e.Close()
		}
	})
	if len(engines) > 0 {
		s.news.UpdateConfig(fmt.Appendf(nil, configFormat, 1, backups), "test")
		s.setEndpoints(1, engines...)
	}
	return s
}

// setEndpoints replaces the gate's endpoint list with engines in state ready.
func (s *system) setEndpoints(revision core.Version, engines ...*plat.Engine) {
	raw := map[string][]byte{}
	for _, e := range engines {
		raw[e.ID] = endpointJSON(e, "ready")
	}
	s.news.ReplaceEndpoints(revs.At(revision), raw, "test")
}

func endpointJSON(e *plat.Engine, state string) []byte {
	service := "lm"
	if strings.HasPrefix(e.ID, "app") {
		service = "app"
	}
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"d1","slots":8,"state":%q,"born":1}`, service, e.Address(), state)
}

// reportPeerCalls reports that other instances have a number of calls at the engine lm-1.
func (s *system) reportPeerCalls(calls int) {
	s.loads.ReplacePeer(time.Now(), time.Now().Add(time.Minute), "peer", map[core.EndpointID]tally.Load{"lm-1": {Calls: calls, Tokens: 100}})
}

// markLeaving marks an engine as leaving.
func (s *system) markLeaving(e *plat.Engine) {
	s.news.ChangeEndpoint(revs.At(100), e.ID, endpointJSON(e, "draining"))
}

// send sends a call with the API key of team north and returns the response.
func (s *system) send(ctx context.Context, t *testing.T, method, path, attempt string, headers ...string) *reply {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, method, s.URL+path, strings.NewReader(strings.Repeat("x", 10)))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "a.example"
	req.Header.Set("Snipeshed-Attempt-Id", attempt)
	req.Header.Set("Snipeshed-Deadline-Ms", "4000")
	req.Header.Set("Api-Key", "k1")
	req.Header.Set("Snipeshed-Token-Count", "1000,100")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req) //nolint:bodyclose // reply.Body is closed by its reader
	if err != nil {
		t.Fatal(err)
	}
	return &reply{StatusCode: resp.StatusCode, Header: resp.Header, Body: resp.Body}
}

// reply is a response; body or eventIDs reads and closes it.
type reply struct {
	StatusCode int
	Header     http.Header
	Body       io.ReadCloser
}

// eventIDs returns the ids of a stream's events and the error that ended it.
func eventIDs(resp *reply) ([]string, error) {
	defer resp.Body.Close()
	var out []string
	s := bufio.NewScanner(resp.Body)
	for s.Scan() {
		if id, ok := strings.CutPrefix(s.Text(), "id: "); ok {
			out = append(out, id)
		}
	}
	return out, s.Err()
}

// checkEvents checks that a caller received events 1 to n once each, in order.
func checkEvents(is *is.I, got []string, n int) {
	is.Helper()
	var want []string
	for i := 1; i <= n; i++ {
		want = append(want, fmt.Sprint(i))
	}
	is.Equal(got, want)
}

func body(resp *reply) string {
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return string(b)
}

// eventually waits until cond holds and fails the test after 3 s.
func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if cond() {
			return
		}
	}
	t.Fatalf("condition did not hold within 3 s: %s", what)
}
