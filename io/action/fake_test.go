package action

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"snipeshed/core"
	"snipeshed/core/claim"
	"snipeshed/io/link"
	"snipeshed/io/reply"
	"snipeshed/stand/mem"
	"snipeshed/wire"
)

type effect int

const (
	noFault       effect = iota
	answerLost           // the effect occurs, but the answer is lost
	requestLost          // no effect, and no answer
	delayedEffect        // the answer is lost, and the effect occurs after fault.wait
	refused              // fails with certainly no effect
	slow                 // the effect occurs, but the answer takes fault.wait, after which the caller may be gone
	noTraceHooks         // the endpoint's transport fails without calling the httptrace hooks
	silentConn           // the endpoint receives the call, then the connection is dead
	callerPaused         // succeeds, but the caller pauses for fault.wait before it gets the answer
)

type fault struct {
	effect effect
	wait   time.Duration
}

type outage struct {
	from, until time.Time
	effect      effect
}

var errLost = errors.New("connection lost")

// faultyStore is an object API with faults: first those scripted per call, then those of the outage or of rule.
type faultyStore struct {
	*mem.Store
	mu        sync.Mutex
	putFaults []fault
	getFaults []fault
	rule      func() fault
	// outage is the time in which calls beyond the scripted ones get outage.effect.
	outage outage
}

func newFaultyStore() *faultyStore {
	s := &faultyStore{}
	s.Store = mem.New(mem.WithFaults(s.storeFault))
	return s
}

func (s *faultyStore) nextFault(list *[]fault) (f fault) {
	now := time.Now()
	switch {
	case len(*list) > 0:
		f, *list = (*list)[0], (*list)[1:]
	case !now.Before(s.outage.from) && now.Before(s.outage.until):
		f.effect = s.outage.effect
	case s.rule != nil:
		f = s.rule()
	}
	return f
}

func (s *faultyStore) storeFault(c mem.Call) mem.Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch c.Op {
	case mem.OpPut:
		return s.nextFault(&s.putFaults).asStoreFault(true)
	case mem.OpGet:
		return s.nextFault(&s.getFaults).asStoreFault(false)
	}
	return mem.Fault{}
}

// asStoreFault converts the fault for a store call; only writes can pause their caller.
func (f fault) asStoreFault(write bool) mem.Fault {
	switch f.effect {
	case noFault:
		return mem.Fault{}
	case requestLost:
		return mem.Fault{Drop: true, Err: errLost}
	case delayedEffect:
		return mem.Fault{DeferEffect: func(effect func()) { time.AfterFunc(f.wait, effect) }, Err: errLost}
	case refused:
		return mem.Fault{Refuse: true, Err: errLost}
	case slow:
		return mem.Fault{Delay: f.wait}
	case callerPaused:
		if write {
			return mem.Fault{Pause: f.wait}
		}
		return mem.Fault{}
	}
	return mem.Fault{Err: errLost}
}

func (s *faultyStore) putCount() int { return s.Calls(mem.OpPut) }
func (s *faultyStore) getCount() int { return s.Calls(mem.OpGet) }

// fakeEndpoint is an application endpoint that ignores fencing numbers. It calls the httptrace hooks that tell the sender
// whether a connection was established.
type fakeEndpoint struct {
	mu     sync.Mutex
	faults []fault
	rule   func() fault
	answer string
	// runs counts how often the action of each key was run, and sends how often a call with the key arrived.
	runs, sends map[string]int
	fencing     map[string]string
	// onRun, if set, is called for each run, and each answer is then the id of the request.
	onRun func(key, id string)
}

func (e *fakeEndpoint) RoundTrip(req *http.Request) (*http.Response, error) {
	body, _ := io.ReadAll(req.Body)
	e.mu.Lock()
	f := fault{}
	if len(e.faults) > 0 {
		f, e.faults = e.faults[0], e.faults[1:]
	} else if e.rule != nil {
		f = e.rule()
	}
	e.mu.Unlock()
	trace := httptrace.ContextClientTrace(req.Context())
	if f.effect == noTraceHooks {
		return nil, errLost
	}
	trace.GetConn(req.URL.Host)
	if f.effect == refused {
		// The error of a dial that timed out matches context.DeadlineExceeded even before the call's deadline.
		return nil, fmt.Errorf("dial: %w", context.DeadlineExceeded)
	}
	trace.GotConn(httptrace.GotConnInfo{})
	key := ""
	for name, values := range req.Header {
		if strings.EqualFold(name, headerIdempotencyKey) {
			key = values[0]
		}
	}
	run := func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.runs[key]++
		if e.onRun != nil {
			e.onRun(key, req.Header.Get(headerRequestID))
		}
	}
	e.mu.Lock()
	e.sends[key]++
	e.fencing[key] = req.Header.Get(headerFencing)
	e.mu.Unlock()
	switch f.effect {
	case requestLost:
		return nil, errLost
	case silentConn:
		return nil, fmt.Errorf("transport connection broken: %w", link.ErrSilent)
	case answerLost:
		run()
		return nil, errLost
	case delayedEffect:
		time.AfterFunc(f.wait, run)
		return nil, errLost
	case slow:
		run()
		if !sleep(req.Context(), f.wait) {
			return nil, req.Context().Err()
		}
	default:
		run()
	}
	answer := e.answer
	if e.onRun != nil {
		answer = req.Header.Get(headerRequestID)
	}
	if answer == "" {
		answer = "ran " + string(body)
	}
	return &http.Response{
		StatusCode: http.StatusOK, Header: http.Header{"Content-Type": {"text/plain"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}},
		Body: io.NopCloser(strings.NewReader(answer)), ContentLength: int64(len(answer)), Request: req,
	}, nil
}

type staticConfig struct{ cfg *core.Config }

func (f staticConfig) Config() *core.Config { return f.cfg }
func (f staticConfig) CheckFresh() error    { return nil }

func testConfig(addresses ...string) staticConfig {
	cfg := &core.Config{
		Services: map[core.ServiceName]*wire.Service{
			"swaps": {Name: "swaps", Protected: []*wire.ProtectedAction{{Method: "POST", PathPrefix: "/confirm"}}},
		},
		Teams:     map[core.TeamName]*wire.Team{"tallinn": {Name: "tallinn"}, "tartu": {Name: "tartu", Services: []string{"other"}}},
		Endpoints: map[core.EndpointID]*wire.Endpoint{},
	}
	for i, addr := range addresses {
		id := string(rune('a' + i))
		cfg.Endpoints[core.EndpointID(id)] = &wire.Endpoint{Name: id, Address: addr, Service: "swaps"}
	}
	return staticConfig{cfg: cfg}
}

func quietShared() core.Common {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return core.NewCommon(logrus.NewEntry(log))
}

// cluster has several instances, one store, and one endpoint behind all addresses.
type cluster struct {
	store     *faultyStore
	endpoint  *fakeEndpoint
	instances []*Action
}

func newCluster(instances int, addresses ...string) *cluster {
	cl := &cluster{
		store:    newFaultyStore(),
		endpoint: &fakeEndpoint{runs: map[string]int{}, sends: map[string]int{}, fencing: map[string]string{}},
	}
	for i := range instances {
		cl.instances = append(cl.instances, New(quietShared(), cl.store, testConfig(addresses...),
			WithClient(&http.Client{Transport: cl.endpoint}), WithInstance(core.InstanceID(rune('1'+i)))))
	}
	return cl
}

func (cl *cluster) close(limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var err error
	for _, a := range cl.instances {
		err = errors.Join(err, a.Close(ctx))
	}
	return err
}

func (cl *cluster) record(key string) claim.Record {
	o, _ := cl.store.Object(objectKey("swaps", "tallinn", key))
	r, _ := claim.Parse(o.Value)
	return r
}

// call returns "kind/run" for an error, and otherwise the body, with " replayed" appended to a replayed one.
func (cl *cluster) call(instance int, method, path, key, body string, timeout time.Duration) string {
	return cl.callWith(context.Background(), instance, method, path, key, body, timeout)
}

func (cl *cluster) callWith(ctx context.Context, instance int, method, path, key, body string, timeout time.Duration) string {
	r := httptest.NewRequestWithContext(ctx, method, "/services/swaps"+path, strings.NewReader(body))
	r.Header.Set("Snipeshed-Timeout-Ms", jsonNumber(timeout.Milliseconds()))
	if key != "" {
		r.Header.Set(headerIdempotencyKey, key)
	}
	rec := httptest.NewRecorder()
	cl.instances[instance].Serve(rec, r, "r1", core.Credential{Team: "tallinn"}, "swaps", path)
	return outcome(rec)
}

func outcome(rec *httptest.ResponseRecorder) string {
	if rec.Code != http.StatusOK {
		var b reply.Body
		if err := json.Unmarshal(rec.Body.Bytes(), &b); err != nil {
			return err.Error()
		}
		return string(b.Error.Kind) + "/" + string(b.Error.Run)
	}
	s := rec.Body.String()
	if rec.Header().Get(headerReplayed) != "" {
		s += " replayed"
	}
	return s
}

func jsonNumber(n int64) string { b, _ := json.Marshal(n); return string(b) }
