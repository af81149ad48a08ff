package scale

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"snipeshed/core"
	"snipeshed/core/fifo"
	"snipeshed/io/engine"
	"snipeshed/io/link"
	"snipeshed/io/pool"
	"snipeshed/stand/runner"
	"snipeshed/wire"
)

// Sizes of a measurement of polls.
const (
	// pollEndpoints is the number of endpoints that an instance owns in the mean at the target size.
	pollEndpoints = 8
	// callGap is the mean time between two calls of an endpoint at the peak, 2,600 calls a second at 2,800 runners.
	callGap = time.Second * 2800 / 2600
	// pollSettle covers the minute of quick polls after the endpoints were configured.
	pollSettle = 65 * time.Second
	// pollWindow holds five polls of a busy endpoint.
	pollWindow = 50 * time.Second
)

// Polls measures what an owner of 8 endpoints sends and receives for polls, without calls and with those of the peak.
// The calls themselves are clients' traffic and are left out.
func (s *Scale) Polls(ctx context.Context) (err error) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	shared := core.NewShared(logrus.NewEntry(log))
	cfg := settings("")
	l := link.New(cfg)
	client := l.EngineClient()
	c := &core.Config{Endpoints: map[core.EndpointID]*wire.Endpoint{}}
	var ids []core.EndpointID
	for i := range pollEndpoints {
		r := runner.New(runner.WithModel("model", "1"))
		if err := r.Start(); err != nil {
			return err
		}
		defer func() { err = errors.Join(err, r.Close()) }()
		id := core.EndpointID(fmt.Sprintf("runner-%d", i))
		c.Endpoints[id] = &wire.Endpoint{Name: string(id), Address: r.Addr(), Wanted: &wire.Wanted{Model: "model", Version: "1"}}
		ids = append(ids, id)
	}
	p := pool.New(shared, "model/0", fifo.New(), func(address string) core.Runner { return engine.New(address, client) },
		pool.WithPollInterval(time.Duration(cfg.GetLoadPollMs())*time.Millisecond))
	defer p.Close()
	p.Configure(c, ids)
	if err := sleep(ctx, pollSettle); err != nil {
		return err
	}
	if err := s.polls(ctx, l, "polls_idle"); err != nil {
		return err
	}
	busy, stop := context.WithCancel(ctx)
	defer stop()
	for _, id := range ids {
		go func() { // ends with busy
			for sleep(busy, time.Duration(rand.ExpFloat64()*float64(callGap))) == nil {
				p.Answered(id, false)
			}
		}()
	}
	return s.polls(ctx, l, "polls_peak")
}

func (s *Scale) polls(ctx context.Context, l *link.Link, what string) error {
	sent, received := l.Bytes()
	if err := sleep(ctx, pollWindow); err != nil {
		return err
	}
	out, in := l.Bytes()
	out, in = out-sent, in-received
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.out, "bench=scale case=%s endpoints=%d sent_bytes_per_s=%.2f received_bytes_per_s=%.2f both_bytes_per_s=%.2f\n",
		what, pollEndpoints, float64(out)/pollWindow.Seconds(), float64(in)/pollWindow.Seconds(), float64(out+in)/pollWindow.Seconds())
	return nil
}
