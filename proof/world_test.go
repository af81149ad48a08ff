package proof

import (
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/conf"
	"snipeshed/stand/caller"
	"snipeshed/stand/fleet"
	"snipeshed/stand/objs"
	"snipeshed/wire"
)

// Bounds that follow from the stated targets.
const (
	// detect is the time in which a silent connection must be found (design 4.5, 5.5).
	detect = 2 * time.Second
	// resumeSlack is allowed on top for the resume itself and for the noise of a shared machine.
	resumeSlack = time.Second
	// leaveBound is the time after which a leaving endpoint receives no new work (design 1.2).
	leaveBound = 3 * time.Second
	// ticketBound is the time in which a ticket is in force everywhere (design 1.2).
	ticketBound = 10 * time.Second
	// listPoll and gossip are the intervals of fleet.WithListLag, from which the bound of a list that lags follows.
	listPoll, gossip = time.Second, time.Second
	// stepTime is the time for a token at a stand-in engine that runs little else.
	stepTime   = 8 * time.Millisecond
	startLimit = 20 * time.Second
	// stopLimit ends a test that failed midway; a stop that takes as long cuts requests off and so fails the test.
	stopLimit = 20 * time.Second
)

// Short names of the client's types.
type (
	ask    = caller.Ask
	answer = caller.Answer
)

// world is a fleet, by default of 3 instances, 3 model runners and 1 application runner, that ends with its test.
type world struct {
	*fleet.Fleet
	t      *testing.T
	client *http.Client
}

// options returns the options of all fleets here, with those of the test after them.
func options(t *testing.T, opts []fleet.Option) []fleet.Option {
	t.Helper()
	base := []fleet.Option{
		fleet.WithLinks(), fleet.WithShortIntervals(),
		fleet.WithSettings(func(s *conf.Settings) { s.StopTimeoutMs = new(stopLimit.Milliseconds()) }),
	}
	if path := os.Getenv("E2E_LOGS"); path != "" {
		f, err := os.Create(path + "/" + strings.ReplaceAll(t.Name(), "/", "_") + ".log")
		is.New(t).NoErr(err)
		t.Cleanup(func() { f.Close() })
		base = append(base, fleet.WithLogs(f))
	}
	return append(base, opts...)
}

func start(t *testing.T, opts ...fleet.Option) *world {
	t.Helper()
	f, err := fleet.Start(options(t, opts)...)
	return newWorld(t, f, err)
}

// newWorld takes a fleet that has started, or has failed to.
func newWorld(t *testing.T, f *fleet.Fleet, err error) *world {
	t.Helper()
	w := &world{Fleet: f, t: t, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}}
	if f != nil {
		t.Cleanup(func() {
			w.client.CloseIdleConnections()
			f.Platform.SetOutage(objs.OutageNone) // outcomes that wait for the store can be recorded
			if err := f.Close(); err != nil {
				t.Errorf("close fleet: %v", err)
			}
		})
	}
	is.New(t).NoErr(err)
	return w
}

// apply applies a ticket and waits until it is in force at every instance.
func (w *world) apply(n *fleet.Node, t *wire.Ticket) uint64 {
	w.t.Helper()
	number, err := w.Enforce(n, t, ticketBound)
	is.New(w.t).NoErr(err)
	return number
}

// owner returns the pool's owner and an instance that is not.
func (w *world) owner() (owner, other *fleet.Node) {
	owner, other = w.Owner()
	if owner == nil {
		w.t.Fatal("no instance owns the pool")
	}
	return owner, other
}

// serving returns the runner with an open stream.
func (w *world) serving() int {
	w.t.Helper()
	found := w.Serving()
	if found < 0 {
		w.t.Error("no runner has an open stream")
	}
	return max(found, 0)
}

// weights returns a team's weight in force at each of the instances, by default all.
func (w *world) weights(team string, nodes ...*fleet.Node) []int64 {
	w.t.Helper()
	out, err := w.Weights(team, nodes...)
	if err != nil {
		w.t.Error(err)
	}
	return out
}

// chat sends a request and reads its answer to the end.
func (w *world) chat(n *fleet.Node, a ask) answer {
	return caller.Chat(w.client, n.ClientAddress(), &a)
}

// act sends a protected action.
func (w *world) act(n *fleet.Node, key string, timeout time.Duration) answer {
	return caller.Act(w.client, n.ClientAddress(), key, timeout)
}

// load starts a load over all ready instances that ends with the test, also when that ends early.
func (w *world) load(opts ...caller.LoadOption) *caller.Load {
	b := caller.StartBalancer(w.client, w.List)
	w.t.Cleanup(b.Close)
	return startLoad(w.t, b.Pick, opts...)
}

func startLoad(t *testing.T, pick caller.Pick, opts ...caller.LoadOption) *caller.Load {
	l := caller.StartLoad(pick, opts...)
	t.Cleanup(func() { l.Close() })
	return l
}

// end waits for the open requests and returns the counts; a request that failed without the proof of not_run is an error.
func end(t *testing.T, l *caller.Load) (completed, refused int) {
	t.Helper()
	rs := l.Close()
	failed := rs.Check(caller.Result.Verify)
	for _, err := range failed {
		t.Error(err)
	}
	refused = rs.Refused()
	completed = len(rs) - refused - len(failed)
	t.Logf("%d requests: %d completed, %d refused as not_run, %d failed; %v", len(rs), completed, refused, len(failed), rs.Kinds())
	return completed, refused
}
