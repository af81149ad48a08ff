package pool_test

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"snipeshed/core"
	"snipeshed/core/order"
	"snipeshed/core/queue"
	"snipeshed/io/driver"
	"snipeshed/io/engine"
	"snipeshed/io/pool"
	"snipeshed/stand/host"
	"snipeshed/stand/runner"
	"snipeshed/wire"
)

const (
	pollInterval = 2 * time.Second
	reportLag    = 500 * time.Millisecond
	loadTime     = 5 * time.Second
)

// orderRecorder is an owner's engine client that records orders; release delays them until it is closed, as a pause of the
// owner would.
type orderRecorder struct {
	core.Runner
	mu      sync.Mutex
	release chan struct{}
	orders  []sentOrder
}

type sentOrder struct {
	core.RunnerOrder
	at  time.Time
	err error
}

func (r *orderRecorder) SendOrder(ctx context.Context, o core.RunnerOrder) error {
	if r.release != nil {
		<-r.release
	}
	err := r.Runner.SendOrder(ctx, o)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders = append(r.orders, sentOrder{o, time.Now(), err})
	return err
}

func (r *orderRecorder) sent() []sentOrder {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]sentOrder(nil), r.orders...)
}

type testEngine struct {
	t      *testing.T
	pipe   *host.Pipe
	runner *runner.Runner
}

func newTestEngine(t *testing.T, opts ...runner.Option) *testEngine {
	e := &testEngine{t: t, pipe: host.NewPipe()}
	opts = append([]runner.Option{
		runner.WithListener(e.pipe), runner.WithModel("m", "1"), runner.WithRole("a"), runner.WithLoadLag(reportLag), runner.WithLoadTime(loadTime),
	}, opts...)
	e.runner = runner.New(opts...)
	if err := e.runner.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = e.runner.Close() })
	return e
}

func config(n core.TicketNumber, version, role string, checks bool) *core.Config {
	return &core.Config{
		Number: n, SetBy: map[string]core.TicketNumber{"endpoint/e": n},
		Ranks: map[core.RankName]*wire.Rank{"urgent": {Name: "urgent", Priority: 1}},
		Endpoints: map[core.EndpointID]*wire.Endpoint{"e": {
			Name: "e", Address: "127.0.0.1:1", ChecksFencing: checks,
			Wanted: &wire.Wanted{Model: "m", Version: version, Role: role},
		}},
	}
}

// owner returns a pool of another instance.
func (e *testEngine) owner(cfg *core.Config, hold chan struct{}, opts ...driver.Option) (*pool.Pool, *orderRecorder) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	r := &orderRecorder{Runner: engine.New("127.0.0.1:1", e.pipe.Client()), release: hold}
	opts = append(opts, driver.WithOrderOptions(order.WithReportLag(reportLag)))
	p := pool.New(core.NewCommon(logrus.NewEntry(log)), "m/0", queue.New(), func(string) core.Runner { return r },
		pool.WithPollInterval(pollInterval), pool.WithDriver(opts...))
	e.t.Cleanup(p.Close)
	p.Configure(cfg, []core.EndpointID{"e"})
	return p, r
}

// TestLateOrderOfPausedOwner guards against a late order of a paused owner that stays in effect although a newer owner
// has sent another one.
func TestLateOrderOfPausedOwner(t *testing.T) {
	// soon and seldom are the pauses between the newer order and the late one. After soon, the endpoint is still polled at each
	// interval; after seldom, the quick polls are over and it is polled at every third.
	const soon, seldom = 10 * time.Second, 2 * time.Minute
	for name, c := range map[string]struct {
		checks  bool
		version string
		pause   time.Duration
		bound   time.Duration
	}{
		"checking engine refuses":                             {true, "1", soon, 0},
		"ignoring engine is corrected":                        {false, "1", soon, 2*pollInterval + reportLag},
		"ignoring engine that loads is corrected":             {false, "2", soon, 2*pollInterval + reportLag},
		"long pause, checking engine refuses":                 {true, "1", seldom, 0},
		"long pause, ignoring engine is corrected":            {false, "1", seldom, 4*pollInterval + reportLag},
		"long pause, ignoring engine that loads is corrected": {false, "2", seldom, 4*pollInterval + reportLag},
	} {
		t.Run(name, func(t *testing.T) {
			var worst time.Duration
			polled, step := pollInterval, 100*time.Millisecond // the time between two polls
			if c.pause == seldom {
				polled, step = 3*pollInterval, 200*time.Millisecond
			}
			for offset := time.Duration(0); offset < polled; offset += step {
				synctest.Test(t, func(t *testing.T) {
					worst = max(worst, lateOrder(t, c.checks, c.version, c.pause+offset))
				})
			}
			t.Logf("corrected after at most %v, bound %v", worst, c.bound)
			is.New(t).True(worst <= c.bound)
		})
	}
}

// lateOrder returns how long the late order was in effect.
func lateOrder(t *testing.T, checks bool, version string, pause time.Duration) time.Duration {
	is := is.New(t)
	e := newTestEngine(t, runner.WithOrderCheck(checks))
	paused := make(chan struct{})
	_, old := e.owner(config(5, version, "old", checks), paused)
	time.Sleep(time.Second)
	p, current := e.owner(config(6, "1", "new", checks), nil)
	time.Sleep(pause)
	is.Equal(p.OrderStates()["e"], order.StateDone)
	before := len(current.sent())

	close(paused)
	synctest.Wait()
	late := old.sent()
	is.Equal(len(late), 1)
	is.Equal(errors.Is(late[0].err, core.ErrStaleOrder), checks)
	time.Sleep(30 * time.Second)
	is.Equal(p.OrderStates()["e"], order.StateDone)
	is.Equal(len(old.sent()), 1) // the old owner sees the newer number and sends no further order
	after := current.sent()[before:]
	if checks {
		is.Equal(len(after), 0)
		return 0
	}
	is.Equal(len(after), 1)
	return after[0].at.Sub(late[0].at)
}

// unavailableSlots simulates a store of load slots that is down.
type unavailableSlots struct{ core.WeightSlots }

// Acquire fails.
func (unavailableSlots) Acquire(context.Context, core.EndpointID) (core.SlotLease, error) {
	return core.SlotLease{}, errors.New("store is down")
}

// TestServingDuringOrder guards against new work at an endpoint that loads a model, against running generations that an
// order cuts off, and against an endpoint that stops serving its old version before it may load the new one.
func TestServingDuringOrder(t *testing.T) {
	for name, c := range map[string]struct {
		down          bool
		version, role string
		orders        int
		refusing      bool
	}{
		"new version refuses new work":             {false, "2", "a", 1, true},
		"new role keeps serving":                   {false, "1", "b", 1, false},
		"store down: old version keeps serving":    {true, "2", "a", 0, false},
		"store down: role is ordered nevertheless": {true, "1", "b", 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				e := newTestEngine(t)
				var opts []driver.Option
				if c.down {
					opts = append(opts, driver.WithSlots(unavailableSlots{}))
				}
				p, r := e.owner(config(1, "1", "a", true), nil, opts...)
				time.Sleep(5 * time.Second)
				is.True(p.Reports()["e"].Accepting)
				sent := len(r.sent())
				stream, err := r.Generate(t.Context(), core.GenerateRequest{RequestID: "r", Model: "m", Prompt: "[output=500] x", MaxTokens: 500})
				is.NoErr(err)
				defer stream.Close()
				_, err = stream.Next()
				is.NoErr(err)

				start := time.Now()
				p.Configure(config(2, c.version, c.role, true), []core.EndpointID{"e"})
				synctest.Wait()
				is.Equal(len(r.sent())-sent, c.orders) // before the next poll
				if c.orders > 0 {
					is.Equal(r.sent()[sent].at, start)
				}
				is.Equal(p.Reports()["e"].Accepting, !c.refusing)
				var done core.Event
				for !done.Done {
					done, err = stream.Next()
					is.NoErr(err)
				}
				is.Equal(done.Tokens, core.Tokens(500))
				if c.refusing {
					time.Sleep(loadTime - time.Since(start) - time.Millisecond)
					is.True(!p.Reports()["e"].Accepting)
				}
				time.Sleep(loadTime + pollInterval + reportLag)
				is.True(p.Reports()["e"].Accepting)
				is.Equal(len(r.sent())-sent, c.orders)
			})
		})
	}
}
