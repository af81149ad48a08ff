package proof

import (
	"context"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/conf"
	"snipeshed/core"
	"snipeshed/stand/caller"
	"snipeshed/stand/fleet"
	"snipeshed/stand/objs"
	"snipeshed/stand/runner"
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
	startLimit  = 20 * time.Second
	// stopLimit ends a test that failed midway; a stop that takes as long cuts requests off and so fails the test.
	stopLimit = 20 * time.Second
)

const pool = core.PoolID(fleet.Model + "/0")

// Short names of the client's types.
type (
	ask    = caller.Ask
	answer = caller.Answer
)

// world is one fleet of 3 instances, 3 model runners and 1 application runner.
type world struct {
	*fleet.Fleet
	t      *testing.T
	client *http.Client
	// mu guards Nodes where a test adds instances.
	mu sync.Mutex
}

func (w *world) nodes() []*fleet.Node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.Nodes)
}

func start(t *testing.T, opts ...fleet.Option) *world {
	t.Helper()
	return startWith(t, nil, opts...)
}

// empty returns a world with a platform only.
func empty(t *testing.T, opts ...fleet.Option) *world {
	t.Helper()
	is := is.New(t)
	// The instances find each other sooner than by default; tests of the instance list's lag set their own.
	opts = append([]fleet.Option{
		fleet.WithLinks(), fleet.WithPlatform(objs.WithListLag(100 * time.Millisecond)),
		fleet.WithSettings(func(s *conf.Settings) {
			s.LeaveDelayMs, s.ListPollMs, s.GossipIntervalMs, s.LoadPollMs = new(int64(300)), 200, 200, 200
			s.StopTimeoutMs = new(stopLimit.Milliseconds())
		}),
	}, opts...)
	if path := os.Getenv("E2E_LOGS"); path != "" {
		f, err := os.Create(path + "/" + strings.ReplaceAll(t.Name(), "/", "_") + ".log")
		is.NoErr(err)
		t.Cleanup(func() { f.Close() })
		opts = append(opts, fleet.WithLogs(f))
	}
	f, err := fleet.New(opts...)
	is.NoErr(err)
	w := &world{Fleet: f, t: t, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}}
	t.Cleanup(func() {
		w.client.CloseIdleConnections()
		f.Platform.SetOutage(objs.OutageNone) // outcomes that wait for the store can be recorded
		if err := f.Close(); err != nil {
			t.Errorf("close fleet: %v", err)
		}
	})
	return w
}

// startWith also sets options of the runners.
func startWith(t *testing.T, runners []runner.Option, opts ...fleet.Option) *world {
	t.Helper()
	is := is.New(t)
	w := empty(t, opts...)
	f := w.Fleet
	for range 3 {
		_, err := f.AddRunner(append(runners, runner.WithLoadLag(100*time.Millisecond))...)
		is.NoErr(err)
	}
	_, err := f.AddService()
	is.NoErr(err)
	for range 3 {
		_, err := f.AddNode()
		is.NoErr(err)
	}
	is.NoErr(f.WaitReady(startLimit))
	w.configure(f.Ticket())
	return w
}

// configure waits until all instances know each other, applies the first ticket and waits until all runners take work.
func (w *world) configure(t *wire.Ticket) {
	w.t.Helper()
	is := is.New(w.t)
	is.NoErr(fleet.Wait(startLimit, "every instance knows the others", func() bool {
		for _, n := range w.Nodes {
			if n.Owner(pool) != w.Nodes[0].Owner(pool) || n.Others() < len(w.Nodes)-1 {
				return false
			}
		}
		return true
	}))
	w.apply(w.Nodes[0], t)
	is.NoErr(w.WaitAccepting(startLimit, len(w.Runners)))
}

// apply applies a ticket and waits until it is in force at every instance.
func (w *world) apply(n *fleet.Node, t *wire.Ticket) uint64 {
	w.t.Helper()
	is := is.New(w.t)
	ctx, cancel := context.WithTimeout(context.Background(), ticketBound)
	defer cancel()
	got, err := n.Apply(ctx, t)
	is.NoErr(err)
	is.NoErr(w.WaitTicket(ticketBound, got.GetNumber()))
	return got.GetNumber()
}

// owner returns the pool's owner and an instance that is not.
func (w *world) owner() (owner, other *fleet.Node) {
	for _, n := range w.Nodes {
		if n.ID == n.Owner(pool) {
			owner = n
		} else {
			other = n
		}
	}
	if owner == nil {
		w.t.Fatal("no instance owns the pool")
	}
	return owner, other
}

// serving returns the runner with the given mark's open stream; there must be exactly one open stream.
func (w *world) serving() int {
	w.t.Helper()
	found := -1
	for i, r := range w.Runners {
		if r.State().OpenStreams > 0 {
			found = i
		}
	}
	if found < 0 {
		w.t.Error("no runner has an open stream")
		return 0
	}
	return found
}

// chat sends a request and reads its answer to the end.
func (w *world) chat(n *fleet.Node, a ask) answer {
	return caller.Chat(w.client, n.ClientAddress(), &a)
}
