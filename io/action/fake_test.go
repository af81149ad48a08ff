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
	works      effect = iota
	lostAfter         // takes effect, answer lost
	lostBefore        // no effect, answer lost
	late              // answer lost, takes effect after fault.wait
	refused           // certainly no effect
	slow              // waits, then works unless the caller has given up; the effect comes either way
	mute              // the endpoint's transport fails without calling its hooks
	silent            // the endpoint gets the call, then its connection is dead
	paused            // works, and the caller is paused for fault.wait before it learns of it
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

// objects is an object API with faults: scripted per call, then by the rule.
type objects struct {
	*mem.Mem
	mu   sync.Mutex
	puts []fault
	gets []fault
	rule func() fault
	// outage is when calls beyond the script end with outage.effect.
	outage outage
}

func newObjects() *objects {
	s := &objects{}
	s.Mem = mem.New(mem.WithFaults(s.fault))
	return s
}

func (s *objects) next(list *[]fault) (f fault) {
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

func (s *objects) fault(c mem.Call) mem.Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch c.Op {
	case mem.OpPut:
		return s.next(&s.puts).ofCall(true)
	case mem.OpGet:
		return s.next(&s.gets).ofCall(false)
	}
	return mem.Fault{}
}

// ofCall returns what the fault does to a call of the store; only writes pause their caller.
func (f fault) ofCall(write bool) mem.Fault {
	switch f.effect {
	case works:
		return mem.Fault{}
	case lostBefore:
		return mem.Fault{Drop: true, Err: errLost}
	case late:
		return mem.Fault{Later: func(effect func()) { time.AfterFunc(f.wait, effect) }, Err: errLost}
	case refused:
		return mem.Fault{Refuse: true, Err: errLost}
	case slow:
		return mem.Fault{Delay: f.wait}
	case paused:
		if write {
			return mem.Fault{Pause: f.wait}
		}
		return mem.Fault{}
	}
	return mem.Fault{Err: errLost}
}

func (s *objects) nputs() int { return s.Calls(mem.OpPut) }
func (s *objects) ngets() int { return s.Calls(mem.OpGet) }

// runner is an application endpoint that ignores fencing numbers. It honours the hooks that tell a sender whether a
// connection was made.
type runner struct {
	mu     sync.Mutex
	faults []fault
	rule   func() fault
	answer string
	// runs counts how often each key was run, sends how often it arrived at all.
	runs, sends map[string]int
	fencing     map[string]string
	// onRun, if set, learns of each execution, and answers are then the id of the request that was run.
	onRun func(key, id string)
}

func (e *runner) RoundTrip(req *http.Request) (*http.Response, error) {
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
	if f.effect == mute {
		return nil, errLost
	}
	trace.GetConn(req.URL.Host)
	if f.effect == refused {
		// A dial that timed out matches context.DeadlineExceeded although the call's deadline has not passed.
		return nil, fmt.Errorf("dial: %w", context.DeadlineExceeded)
	}
	trace.GotConn(httptrace.GotConnInfo{})
	key := ""
	for name, values := range req.Header {
		if strings.EqualFold(name, headerKey) {
			key = values[0]
		}
	}
	run := func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.runs[key]++
		if e.onRun != nil {
			e.onRun(key, req.Header.Get(headerID))
		}
	}
	e.mu.Lock()
	e.sends[key]++
	e.fencing[key] = req.Header.Get(headerFencing)
	e.mu.Unlock()
	switch f.effect {
	case lostBefore:
		return nil, errLost
	case silent:
		return nil, fmt.Errorf("transport connection broken: %w", link.ErrSilent)
	case lostAfter:
		run()
		return nil, errLost
	case late:
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
		answer = req.Header.Get(headerID)
	}
	if answer == "" {
		answer = "ran " + string(body)
	}
	return &http.Response{
		StatusCode: http.StatusOK, Header: http.Header{"Content-Type": {"text/plain"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}},
		Body: io.NopCloser(strings.NewReader(answer)), ContentLength: int64(len(answer)), Request: req,
	}, nil
}

type fixed struct{ cfg *core.Config }

func (f fixed) Config() *core.Config { return f.cfg }
func (f fixed) Fresh() error         { return nil }

func testConfig(addresses ...string) fixed {
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
	return fixed{cfg: cfg}
}

func quiet() core.Shared {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return core.NewShared(logrus.NewEntry(log))
}

// world is some instances with one store and one endpoint behind all addresses.
type world struct {
	store     *objects
	end       *runner
	instances []*Action
}

func newWorld(instances int, addresses ...string) *world {
	w := &world{
		store: newObjects(),
		end:   &runner{runs: map[string]int{}, sends: map[string]int{}, fencing: map[string]string{}},
	}
	for i := range instances {
		w.instances = append(w.instances, New(quiet(), w.store, testConfig(addresses...),
			WithClient(&http.Client{Transport: w.end}), WithInstance(core.InstanceID(rune('1'+i)))))
	}
	return w
}

func (w *world) close(limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var err error
	for _, a := range w.instances {
		err = errors.Join(err, a.Close(ctx))
	}
	return err
}

func (w *world) record(key string) claim.Record {
	o, _ := w.store.Object(objectKey("swaps", "tallinn", key))
	r, _ := claim.Parse(o.Value)
	return r
}

// call returns "kind/run" of an error or the status, with the body and " replayed".
func (w *world) call(instance int, method, path, key, body string, timeout time.Duration) string {
	return w.callWith(context.Background(), instance, method, path, key, body, timeout)
}

func (w *world) callWith(ctx context.Context, instance int, method, path, key, body string, timeout time.Duration) string {
	r := httptest.NewRequestWithContext(ctx, method, "/services/swaps"+path, strings.NewReader(body))
	r.Header.Set("Snipeshed-Timeout-Ms", jsonNumber(timeout.Milliseconds()))
	if key != "" {
		r.Header.Set(headerKey, key)
	}
	rec := httptest.NewRecorder()
	w.instances[instance].Serve(rec, r, "r1", core.Credential{Team: "tallinn"}, "swaps", path)
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
	if rec.Header().Get(headerReplay) != "" {
		s += " replayed"
	}
	return s
}

func jsonNumber(n int64) string { b, _ := json.Marshal(n); return string(b) }
