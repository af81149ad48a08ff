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

// Time limits of the tests; those that end in Bound follow from the targets of the design.
const (
	// detectBound is the time within which a silent connection must be detected (design 4.5, 5.5).
	detectBound = 2 * time.Second
	// resumeSlack is the extra time for resuming a stream and for scheduling delays on a shared machine.
	resumeSlack = time.Second
	// leaveBound is the time after which a leaving endpoint receives no new work (design 1.2).
	leaveBound = 3 * time.Second
	// ticketBound is the time within which a ticket (a configuration change) is in force at every instance (design 1.2).
	ticketBound = 10 * time.Second
	// listPollInterval and gossipInterval are the intervals that fleet.WithListLag sets; they add to the lag of the instance list.
	listPollInterval, gossipInterval = time.Second, time.Second
	// tokenTime is the time that a lightly loaded simulated engine takes for a token.
	tokenTime = 8 * time.Millisecond
	// startLimit bounds a wait for a condition that has no target in the design, such as a stream that has begun or ended.
	startLimit = 20 * time.Second
	// stopLimit bounds the shutdown of an instance; a shutdown that reaches it aborts open requests, which fails the test.
	stopLimit = 20 * time.Second
)

// Short names of the client's types in package caller.
type (
	chatRequest = caller.ChatRequest
	answer      = caller.Answer
)

// testFleet is a fleet, by default of 3 instances, 3 model runners and 1 application runner, that is closed when its test ends.
type testFleet struct {
	*fleet.Fleet
	t      *testing.T
	client *http.Client
}

// fleetOptions returns the options that all fleets of this package share, followed by those of the test. If E2E_LOGS names a
// folder, the logs of the instances go to a file there, named after the test.
func fleetOptions(t *testing.T, opts []fleet.Option) []fleet.Option {
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

func startFleet(t *testing.T, opts ...fleet.Option) *testFleet {
	t.Helper()
	f, err := fleet.Start(fleetOptions(t, opts)...)
	return newTestFleet(t, f, err)
}

// newTestFleet wraps a fleet and closes it when the test ends; err is the error of its start.
func newTestFleet(t *testing.T, f *fleet.Fleet, err error) *testFleet {
	t.Helper()
	tf := &testFleet{Fleet: f, t: t, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}}
	if f != nil {
		t.Cleanup(func() {
			tf.client.CloseIdleConnections()
			f.Platform.SetOutage(objs.OutageNone) // so that outcomes of protected actions can still be recorded
			if err := f.Close(); err != nil {
				t.Errorf("close fleet: %v", err)
			}
		})
	}
	is.New(t).NoErr(err)
	return tf
}

// applyTicket applies a ticket at an instance, waits until it is in force at every instance and returns its number.
func (tf *testFleet) applyTicket(n *fleet.Node, t *wire.Ticket) uint64 {
	tf.t.Helper()
	number, err := tf.ApplyEverywhere(n, t, ticketBound)
	is.New(tf.t).NoErr(err)
	return number
}

// ownerAndOther returns the instance that owns the pool and one that does not.
func (tf *testFleet) ownerAndOther() (owner, other *fleet.Node) {
	owner, other = tf.Owner()
	if owner == nil {
		tf.t.Fatal("no instance owns the pool")
	}
	return owner, other
}

// servingRunner returns the index of a runner with an open stream.
func (tf *testFleet) servingRunner() int {
	tf.t.Helper()
	found := tf.ServingRunner()
	if found < 0 {
		tf.t.Error("no runner has an open stream")
	}
	return max(found, 0)
}

// weights returns the weight of a team that is in force at each of the given instances, or at all instances when none is given.
func (tf *testFleet) weights(team string, nodes ...*fleet.Node) []int64 {
	tf.t.Helper()
	out, err := tf.TeamWeights(team, nodes...)
	if err != nil {
		tf.t.Error(err)
	}
	return out
}

// chat sends a request and reads its answer to the end.
func (tf *testFleet) chat(n *fleet.Node, q chatRequest) answer {
	return caller.Chat(tf.client, n.ClientAddress(), &q)
}

// sendAction sends a protected action with an idempotency key.
func (tf *testFleet) sendAction(n *fleet.Node, key string, timeout time.Duration) answer {
	return caller.SendAction(tf.client, n.ClientAddress(), key, timeout)
}

// load starts a load over all ready instances; it is closed when the test ends, also when the test fails early.
func (tf *testFleet) load(opts ...caller.LoadOption) *caller.Load {
	b := caller.StartBalancer(tf.client, tf.NodesCopy)
	tf.t.Cleanup(b.Close)
	return startLoad(tf.t, b.Pick, opts...)
}

func startLoad(t *testing.T, pick caller.PickFunc, opts ...caller.LoadOption) *caller.Load {
	l := caller.StartLoad(pick, opts...)
	t.Cleanup(func() { l.Close() })
	return l
}

// endLoad stops a load, waits for its open requests and returns how many completed and how many were refused as not_run. Any
// other result fails the test.
func endLoad(t *testing.T, l *caller.Load) (completed, refused int) {
	t.Helper()
	rs := l.Close()
	failed := rs.Errors(caller.Result.CheckCompleteOrNotRun)
	for _, err := range failed {
		t.Error(err)
	}
	refused = rs.CountNotRun()
	completed = len(rs) - refused - len(failed)
	t.Logf("%d requests: %d completed, %d refused as not_run, %d failed; %v", len(rs), completed, refused, len(failed), rs.CountByOutcome())
	return completed, refused
}
