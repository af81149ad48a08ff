package pool_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"snipeshed/core"
	"snipeshed/core/bucket"
	"snipeshed/core/fifo"
	"snipeshed/io/pool"
	"snipeshed/wire"
)

type polledRunner struct {
	core.Runner
	polls atomic.Int64
	// failing makes polls fail, and leaving makes reports say that the endpoint is leaving.
	failing, leaving atomic.Bool
}

func (r *polledRunner) Load(context.Context) (core.RunnerLoad, error) {
	r.polls.Add(1)
	if r.failing.Load() {
		return core.RunnerLoad{}, errors.New("connection refused")
	}
	return core.RunnerLoad{Model: "m", KVCapacity: 1000, Leaving: r.leaving.Load()}, nil
}

// configuration returns a configuration with one endpoint whose wanted model was set by the ticket with the given number.
func configuration(model string, number core.TicketNumber) *core.Config {
	return &core.Config{
		Endpoints: map[core.EndpointID]*wire.Endpoint{
			"e": {Name: "e", Address: "10.0.0.1:1", Wanted: &wire.Wanted{Model: model}},
		},
		SetBy: map[string]core.TicketNumber{"endpoint/e": number},
	}
}

func newPool(t *testing.T, r core.Runner, opts ...pool.Option) *pool.Pool {
	return newPools(t, "m/0", func(string) core.Runner { return r }, opts...)
}

func newPools(t *testing.T, id core.PoolID, newRunner func(address string) core.Runner, opts ...pool.Option) *pool.Pool {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return pool.New(core.NewCommon(log.WithField("test", t.Name())), id, fifo.New(), newRunner, opts...)
}

// TestPolls guards against polls that waste the control traffic of an instance on idle or healthy endpoints, and against
// missing polls of an endpoint that may get an old order, is leaving, has failed or is not in its wanted state.
func TestPolls(t *testing.T) {
	const (
		interval, seconds = 2 * time.Second, 60
		// Polls in a minute, counted after the first minute with its quick polls.
		each, third, fifth = seconds / 2, seconds / 6, seconds / 10
	)
	tests := []struct {
		name   string
		early  bool // counted from the start, which adds one poll for the first configuration
		during func(r *polledRunner, p *pool.Pool)
		refuse bool
		polls  int64
	}{
		{name: "each interval in the first minute of a wanted state", early: true, polls: each},
		{name: "third interval when idle", polls: third},
		{name: "fifth interval while it takes calls", during: func(_ *polledRunner, p *pool.Pool) { p.RecordAnswer("e", false) }, polls: fifth},
		{
			name: "each interval when it refuses calls because it leaves", refuse: true,
			during: func(_ *polledRunner, p *pool.Pool) { p.RecordAnswer("e", true) }, polls: each,
		},
		{
			name: "each interval when its report says that it leaves", refuse: true,
			during: func(r *polledRunner, _ *pool.Pool) { r.leaving.Store(true) }, polls: each,
		},
		{name: "each interval when polls fail", refuse: true, during: func(r *polledRunner, _ *pool.Pool) { r.failing.Store(true) }, polls: each},
		{name: "each interval when calls fail", refuse: true, during: func(r *polledRunner, p *pool.Pool) { r.failing.Store(true); p.RecordFailure("e", false) }, polls: each},
		{
			name: "each interval when it lacks the wanted model", refuse: true,
			during: func(_ *polledRunner, p *pool.Pool) { p.Configure(configuration("other", 0), []core.EndpointID{"e"}) }, polls: each,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := &polledRunner{}
				p := newPool(t, r, pool.WithPollInterval(interval))
				defer p.Close()
				p.Configure(configuration("m", 0), []core.EndpointID{"e"})
				if !tt.early {
					time.Sleep(70*time.Second + interval/2)
					r.polls.Store(0)
				}
				for range seconds {
					if tt.during != nil {
						tt.during(r, p)
					}
					time.Sleep(time.Second)
				}
				n := r.polls.Load()
				t.Logf("polls=%d", n)
				is.True(n >= tt.polls-2) // failures and leaving are detected by a poll at the third interval
				is.True(n <= tt.polls+2)
				is.Equal(p.Reports()["e"].Accepting, !tt.refuse)
			})
		})
	}
}

// TestPollsAfterChange guards against an endpoint that gets no work for long after a failure because it is polled rarely,
// and against a new ticket for an endpoint that does not restart the quick polls.
func TestPollsAfterChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const interval = 2 * time.Second
		r := &polledRunner{}
		p := newPool(t, r, pool.WithPollInterval(interval))
		defer p.Close()
		p.Configure(configuration("m", 0), []core.EndpointID{"e"})
		time.Sleep(5 * time.Minute)
		r.failing.Store(true)
		p.RecordFailure("e", false)
		time.Sleep(5 * time.Minute)
		is.True(!p.Reports()["e"].Accepting)
		r.failing.Store(false)
		time.Sleep(interval + time.Millisecond)
		is.True(p.Reports()["e"].Accepting)

		time.Sleep(5 * time.Minute)
		p.Configure(configuration("m", 1), []core.EndpointID{"e"})
		r.polls.Store(0)
		time.Sleep(20 * time.Second)
		is.True(r.polls.Load() >= 9)
	})
}

// TestPollsOfManyPools guards against polls of several pools that exceed the bytes left by the other control traffic,
// also right after the pools were opened, and against a byte budget that starves endpoints or delays polls of endpoints
// that fail, are leaving or are not in their wanted state.
func TestPollsOfManyPools(t *testing.T) {
	const (
		pollBytes = 363  // both directions, io/engine TestPollBytes
		budget    = 2048 // bytes per second for all control traffic
		others    = 1405 // of a relay of configuration at the target size (docs/CAPACITY.md)
		size      = 16
	)
	tests := []struct {
		name   string
		pools  int
		settle time.Duration
		// seconds is how long the polls are counted.
		seconds int64
		busy    bool
		// fails makes the polls of the first endpoint fail.
		fails bool
	}{
		{name: "one pool", pools: 1, settle: 5 * time.Minute, seconds: 600},
		{name: "two pools", pools: 2, settle: 5 * time.Minute, seconds: 600},
		{name: "three pools", pools: 3, settle: 5 * time.Minute, seconds: 600},
		{name: "three pools that take calls", pools: 3, settle: 5 * time.Minute, seconds: 600, busy: true},
		{name: "two pools just opened", pools: 2, seconds: 60},
		{name: "three pools just opened", pools: 3, seconds: 60},
		{name: "three pools with a failing endpoint", pools: 3, settle: 5 * time.Minute, seconds: 600, fails: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				shared := bucket.New()
				var pools []*pool.Pool
				var runners []*polledRunner
				for i := range tt.pools {
					cfg, ids := &core.Config{Endpoints: map[core.EndpointID]*wire.Endpoint{}}, []core.EndpointID{}
					for j := range size {
						id := core.EndpointID(fmt.Sprint(j))
						cfg.Endpoints[id] = &wire.Endpoint{Address: string(id), Wanted: &wire.Wanted{Model: "m"}}
						ids = append(ids, id)
						runners = append(runners, &polledRunner{})
					}
					mine := runners[i*size:]
					p := newPools(t, core.PoolID(fmt.Sprint(i)), func(address string) core.Runner {
						n, err := strconv.Atoi(address)
						is.NoErr(err)
						return mine[n]
					}, pool.WithPollBudget(shared))
					defer p.Close()
					p.Configure(cfg, ids)
					pools = append(pools, p)
				}
				runners[0].failing.Store(tt.fails)
				time.Sleep(tt.settle)
				for _, r := range runners {
					if tt.settle > 0 {
						r.polls.Store(0)
					}
				}
				for range tt.seconds {
					for i := 0; tt.busy && i < len(pools)*size; i++ {
						pools[i/size].RecordAnswer(core.EndpointID(fmt.Sprint(i%size)), false)
					}
					time.Sleep(time.Second)
				}
				var sum, least, most int64 = 0, tt.seconds, 0
				for i, r := range runners {
					n := r.polls.Load()
					sum += n
					if i == 0 && tt.fails {
						is.True(n >= tt.seconds/2-1) // each interval
						continue
					}
					least, most = min(least, n), max(most, n)
				}
				t.Logf("bytes_per_s=%d least=%d most=%d", sum*pollBytes/tt.seconds, least, most)
				is.True(sum*pollBytes <= (budget-others)*tt.seconds)
				is.True(least >= tt.seconds/60)
				is.True(most-least <= 2+most/10) // the first polls after the opening come one after another
			})
		})
	}
}

// TestCallsAfterLeavingByReport guards against new work at a rarely polled endpoint that only its load report shows to be
// leaving, and against checks before calls to an endpoint that refuses them by itself.
func TestCallsAfterLeavingByReport(t *testing.T) {
	const bound = 3 * time.Second
	tests := []struct {
		name string
		// gap is the time between two calls.
		gap     time.Duration
		refuses bool
		fails   bool
	}{
		{name: "many calls", gap: 50 * time.Millisecond},
		{name: "calls at the peak rate", gap: 1077 * time.Millisecond},
		{name: "rare calls", gap: 5 * time.Second},
		{name: "fails without notice", gap: 50 * time.Millisecond, fails: true},
		{name: "refuses by itself", gap: 50 * time.Millisecond, refuses: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for offset := time.Duration(0); offset < 10*time.Second; offset += 700 * time.Millisecond {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					r := &polledRunner{}
					p := newPool(t, r)
					defer p.Close()
					cfg := configuration("m", 0)
					cfg.Endpoints["e"].RefusesWhenLeaving = tt.refuses
					p.Configure(cfg, []core.EndpointID{"e"})
					time.Sleep(2*time.Minute + offset)
					admit := func() bool {
						ctx, cancel := context.WithTimeout(t.Context(), tt.gap)
						defer cancel()
						id := core.RequestID(time.Now().String())
						ep, _, err := p.Admit(ctx, core.Call{ID: id})
						if err != nil {
							return false
						}
						p.RecordAnswer(ep, false) // the answers do not report that the endpoint is leaving
						p.Finish(id, true)
						return true
					}
					r.polls.Store(0)
					for began := time.Now(); time.Since(began) < 20*time.Second; time.Sleep(tt.gap) {
						is.True(admit())
					}
					polls := r.polls.Load()
					if tt.refuses {
						is.True(polls <= 3) // one in 10 s
						return
					}
					is.True(polls <= 9) // at most one in 2.5 s
					left := time.Now()
					r.leaving.Store(!tt.fails)
					r.failing.Store(tt.fails)
					for time.Since(left) < 30*time.Second {
						took := admit()
						is.True(!took || time.Since(left) <= bound)
						time.Sleep(tt.gap)
					}
				})
			}
		})
	}
}

// TestListLeavingBetweenPolls checks that a change in the instance list takes effect without a poll, because an endpoint that
// takes calls is polled rarely.
func TestListLeavingBetweenPolls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var leaving atomic.Bool
		p := newPool(t, &polledRunner{}, pool.WithLeavingByList(func(string) bool { return leaving.Load() }))
		defer p.Close()
		p.Configure(configuration("m", 0), []core.EndpointID{"e"})
		time.Sleep(time.Second)
		p.RecordAnswer("e", false)
		synctest.Wait()
		leaving.Store(true)
		time.Sleep(100 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, _, err := p.Admit(ctx, core.Call{ID: "late"})
		is.Equal(core.ErrorKindOf(err), core.KindDeadline) // not admitted
		leaving.Store(false)
		_, _, err = p.Admit(t.Context(), core.Call{ID: "next"})
		is.NoErr(err)
	})
}

type panickingRunner struct{ core.Runner }

func (panickingRunner) Load(context.Context) (core.RunnerLoad, error) { panic("index out of range") }

// TestPanicInPoll guards against one endpoint whose report causes a panic and so takes down the process, or ends the polls of
// the others.
func TestPanicInPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		sound := &polledRunner{}
		p := newPools(t, "m/0", func(address string) core.Runner {
			if address == "10.0.0.1:2" {
				return panickingRunner{}
			}
			return sound
		})
		defer p.Close()
		cfg := configuration("m", 0)
		cfg.Endpoints["broken"] = &wire.Endpoint{Name: "broken", Address: "10.0.0.1:2", Wanted: &wire.Wanted{Model: "m"}}
		p.Configure(cfg, []core.EndpointID{"e", "broken"})
		time.Sleep(time.Minute)
		is.True(sound.polls.Load() >= 20)
		is.True(p.Reports()["e"].Accepting)
		is.True(!p.Reports()["broken"].Accepting)
	})
}
