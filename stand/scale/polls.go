package scale

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"snipeshed/core"
	"snipeshed/core/bucket"
	"snipeshed/core/fifo"
	"snipeshed/io/engine"
	"snipeshed/io/link"
	"snipeshed/io/pool"
	"snipeshed/stand/runner"
	"snipeshed/wire"
)

// Durations of the poll benchmark.
const (
	// callInterval is the mean time between two calls of one endpoint at the peak of 2,600 calls per second on 2,800 runners.
	callInterval = time.Second * 2800 / 2600
	// pollWindow is the length of each phase; it covers the frequent polls after the endpoints were configured.
	pollWindow = time.Minute
	// pollSettleTime lets the frequent polls end.
	pollSettleTime = 5 * time.Second
)

// ownerCases holds the pools and endpoints of the measured owners: the mean at the target size, one whole pool, and what
// 8% and 1% of the instances own.
var ownerCases = []struct{ pools, endpoints int }{{1, 8}, {1, 16}, {2, 32}, {3, 48}}

// poolOwner is the part of an instance that polls the endpoints of the pools that it owns.
type poolOwner struct {
	pools       int
	endpoints   int
	link        *link.Network
	openPools   []*pool.Pool
	config      *core.Config
	endpointIDs [][]core.EndpointID
	runners     []*runner.Runner
}

// RunPolls measures the bytes that pool owners send and receive for polls and checks in four phases: in the minute after
// they opened the pools, without calls, with the calls of the peak at endpoints that refuse calls when they leave, and
// with the same calls at endpoints that do not. The calls themselves are client traffic and are not counted.
func (s *Benchmark) RunPolls(ctx context.Context) error {
	var all sync.WaitGroup
	errs := make([]error, len(ownerCases))
	for i, c := range ownerCases {
		all.Go(func() {
			o := &poolOwner{pools: c.pools, endpoints: c.endpoints}
			errs[i] = errors.Join(s.measureOwner(ctx, o), o.close())
		})
	}
	all.Wait()
	return errors.Join(errs...)
}

func (s *Benchmark) measureOwner(ctx context.Context, o *poolOwner) error {
	if err := o.start(); err != nil {
		return err
	}
	o.configure(true)
	if err := s.measurePolls(ctx, o, "polls_opened"); err != nil {
		return err
	}
	if err := sleep(ctx, pollSettleTime); err != nil {
		return err
	}
	if err := s.measurePolls(ctx, o, "polls_idle"); err != nil {
		return err
	}
	busy, stop := context.WithCancel(ctx)
	var calls sync.WaitGroup
	defer calls.Wait()
	defer stop()
	for i, p := range o.openPools {
		meanInterval := float64(callInterval) / float64(len(o.endpointIDs[i]))
		calls.Go(func() {
			for sleep(busy, time.Duration(rand.ExpFloat64()*meanInterval)) == nil {
				id := core.RequestID(core.NewRandomID())
				ep, _, err := p.Admit(busy, core.Call{ID: id})
				if err != nil {
					continue // Admit fails only after the context has ended
				}
				p.RecordAnswer(ep, false)
				p.Finish(id, true)
			}
		})
	}
	if err := s.measurePolls(ctx, o, "polls_peak"); err != nil {
		return err
	}
	o.configure(false)
	return s.measurePolls(ctx, o, "polls_peak_checked")
}

func (o *poolOwner) start() error {
	log := logrus.New()
	log.SetOutput(io.Discard)
	common := core.NewCommon(logrus.NewEntry(log))
	cfg := settings("")
	o.link = link.New(cfg)
	client := o.link.EngineClient()
	pollBudget := bucket.New(bucket.WithRate(cfg.GetPollBytesPerS()), bucket.WithMeter(o.totalBytes))
	o.config = &core.Config{Endpoints: map[core.EndpointID]*wire.Endpoint{}}
	o.endpointIDs = make([][]core.EndpointID, o.pools)
	for i := range o.endpoints {
		r := runner.New(runner.WithModel("model", "1"))
		if err := r.Start(); err != nil {
			return err
		}
		o.runners = append(o.runners, r)
		id := core.EndpointID(fmt.Sprintf("runner-%d", i))
		o.config.Endpoints[id] = &wire.Endpoint{Name: string(id), Address: r.Addr(), Wanted: &wire.Wanted{Model: "model", Version: "1"}}
		o.endpointIDs[i%o.pools] = append(o.endpointIDs[i%o.pools], id)
	}
	for i := range o.pools {
		o.openPools = append(o.openPools, pool.New(common, core.PoolID(fmt.Sprintf("model/%d", i)), fifo.New(),
			func(address string) core.Runner { return engine.New(address, client) },
			pool.WithPollInterval(time.Duration(cfg.GetLoadPollMs())*time.Millisecond), pool.WithPollBudget(pollBudget)))
	}
	return nil
}

// configure configures the pools with their endpoints; refuse says whether endpoints refuse calls when they leave.
func (o *poolOwner) configure(refuse bool) {
	for _, e := range o.config.Endpoints {
		e.RefusesWhenLeaving = refuse
	}
	for i, p := range o.openPools {
		p.Configure(o.config, o.endpointIDs[i])
	}
}

func (o *poolOwner) close() error {
	for _, p := range o.openPools {
		p.Close()
	}
	var errs []error
	for _, r := range o.runners {
		errs = append(errs, r.Close())
	}
	return errors.Join(errs...)
}

func (o *poolOwner) totalBytes() int64 {
	sent, received := o.link.Bytes()
	return sent + received
}

func (s *Benchmark) measurePolls(ctx context.Context, o *poolOwner, caseName string) error {
	sent, received := o.link.Bytes()
	if err := sleep(ctx, pollWindow); err != nil {
		return err
	}
	out, in := o.link.Bytes()
	out, in = out-sent, in-received
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.out, "bench=scale case=%s pools=%d endpoints=%d sent_bytes_per_s=%.2f received_bytes_per_s=%.2f both_bytes_per_s=%.2f\n",
		caseName, o.pools, o.endpoints, float64(out)/pollWindow.Seconds(), float64(in)/pollWindow.Seconds(), float64(out+in)/pollWindow.Seconds())
	return nil
}
