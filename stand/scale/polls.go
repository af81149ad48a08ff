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

// Sizes of a measurement of polls.
const (
	// callGap is the mean time between two calls of an endpoint at the peak, 2,600 calls a second at 2,800 runners.
	callGap = time.Second * 2800 / 2600
	// pollWindow is the minute of quick polls after the endpoints were configured, and the time of each later count.
	pollWindow = time.Minute
	// pollSettle lets the quick polls end.
	pollSettle = 5 * time.Second
)

// owned are the pools of an owner: the mean of the target size, one whole pool, and what 8% and 1% of the instances own.
var owned = []struct{ pools, endpoints int }{{1, 8}, {1, 16}, {2, 32}, {3, 48}}

// owner is an instance's share in the polls.
type owner struct {
	pools     int
	endpoints int
	link      *link.Link
	open      []*pool.Pool
	config    *core.Config
	ids       [][]core.EndpointID
	runners   []*runner.Runner
}

// Polls measures what owners of some pools send and receive for polls and checks: in the minute after they opened them,
// without calls, and with those of the peak, at endpoints that refuse calls when they leave and at others. The calls
// themselves are clients' traffic and are left out.
func (s *Scale) Polls(ctx context.Context) error {
	var all sync.WaitGroup
	errs := make([]error, len(owned))
	for i, c := range owned {
		all.Go(func() {
			o := &owner{pools: c.pools, endpoints: c.endpoints}
			errs[i] = errors.Join(s.owner(ctx, o), o.close())
		})
	}
	all.Wait()
	return errors.Join(errs...)
}

func (s *Scale) owner(ctx context.Context, o *owner) error {
	if err := o.start(); err != nil {
		return err
	}
	o.configure(true)
	if err := s.polls(ctx, o, "polls_opened"); err != nil {
		return err
	}
	if err := sleep(ctx, pollSettle); err != nil {
		return err
	}
	if err := s.polls(ctx, o, "polls_idle"); err != nil {
		return err
	}
	busy, stop := context.WithCancel(ctx)
	var calls sync.WaitGroup
	defer calls.Wait()
	defer stop()
	for i, p := range o.open {
		gap := float64(callGap) / float64(len(o.ids[i]))
		calls.Go(func() {
			for sleep(busy, time.Duration(rand.ExpFloat64()*gap)) == nil {
				id := core.RequestID(core.NewRandomID())
				ep, _, err := p.Admit(busy, core.Call{ID: id})
				if err != nil {
					continue // only at the end
				}
				p.Answered(ep, false)
				p.Finish(id, true)
			}
		})
	}
	if err := s.polls(ctx, o, "polls_peak"); err != nil {
		return err
	}
	o.configure(false)
	return s.polls(ctx, o, "polls_peak_checked")
}

func (o *owner) start() error {
	log := logrus.New()
	log.SetOutput(io.Discard)
	shared := core.NewShared(logrus.NewEntry(log))
	cfg := settings("")
	o.link = link.New(cfg)
	client := o.link.EngineClient()
	limit := bucket.New(bucket.WithRate(cfg.GetPollBytesPerS()), bucket.WithMeter(o.bytes))
	o.config = &core.Config{Endpoints: map[core.EndpointID]*wire.Endpoint{}}
	o.ids = make([][]core.EndpointID, o.pools)
	for i := range o.endpoints {
		r := runner.New(runner.WithModel("model", "1"))
		if err := r.Start(); err != nil {
			return err
		}
		o.runners = append(o.runners, r)
		id := core.EndpointID(fmt.Sprintf("runner-%d", i))
		o.config.Endpoints[id] = &wire.Endpoint{Name: string(id), Address: r.Addr(), Wanted: &wire.Wanted{Model: "model", Version: "1"}}
		o.ids[i%o.pools] = append(o.ids[i%o.pools], id)
	}
	for i := range o.pools {
		o.open = append(o.open, pool.New(shared, core.PoolID(fmt.Sprintf("model/%d", i)), fifo.New(),
			func(address string) core.Runner { return engine.New(address, client) },
			pool.WithPollInterval(time.Duration(cfg.GetLoadPollMs())*time.Millisecond), pool.WithBucket(limit)))
	}
	return nil
}

// configure sets the endpoints and whether they refuse calls when they leave.
func (o *owner) configure(refuse bool) {
	for _, e := range o.config.Endpoints {
		e.RefusesWhenLeaving = refuse
	}
	for i, p := range o.open {
		p.Configure(o.config, o.ids[i])
	}
}

func (o *owner) close() error {
	for _, p := range o.open {
		p.Close()
	}
	var errs []error
	for _, r := range o.runners {
		errs = append(errs, r.Close())
	}
	return errors.Join(errs...)
}

func (o *owner) bytes() int64 {
	sent, received := o.link.Bytes()
	return sent + received
}

func (s *Scale) polls(ctx context.Context, o *owner, what string) error {
	sent, received := o.link.Bytes()
	if err := sleep(ctx, pollWindow); err != nil {
		return err
	}
	out, in := o.link.Bytes()
	out, in = out-sent, in-received
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.out, "bench=scale case=%s pools=%d endpoints=%d sent_bytes_per_s=%.2f received_bytes_per_s=%.2f both_bytes_per_s=%.2f\n",
		what, o.pools, o.endpoints, float64(out)/pollWindow.Seconds(), float64(in)/pollWindow.Seconds(), float64(out+in)/pollWindow.Seconds())
	return nil
}
