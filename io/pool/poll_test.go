package pool_test

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"snipeshed/core"
	"snipeshed/core/fifo"
	"snipeshed/io/pool"
	"snipeshed/wire"
)

type polledRunner struct {
	core.Runner
	polls atomic.Int64
}

func (r *polledRunner) Load(context.Context) (core.RunnerLoad, error) {
	r.polls.Add(1)
	return core.RunnerLoad{Model: "m", KVCapacity: 1000}, nil
}

// Polls of endpoints whose answers already tell that they are alive would use up the control traffic of an instance.
func TestPolls(t *testing.T) {
	const interval, seconds = 2 * time.Second, 40
	const most = seconds/2 + 2 // one at the start and one for the first configuration
	tests := []struct {
		name   string
		takes  bool
		leaves bool
		most   int64
		least  int64
	}{
		{name: "an idle endpoint is polled at each interval", least: seconds / 2, most: most},
		{name: "one that takes calls is polled at every fifth interval", takes: true, least: 4, most: 6},
		{name: "one that says that it leaves is polled and gets nothing", takes: true, leaves: true, least: seconds / 2, most: most},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				log := logrus.New()
				log.SetOutput(io.Discard)
				r := &polledRunner{}
				p := pool.New(core.NewShared(log.WithField("test", t.Name())), "m/0", fifo.New(),
					func(string) core.Runner { return r }, pool.WithPollInterval(interval))
				defer p.Close()
				p.Configure(&core.Config{Endpoints: map[core.EndpointID]*wire.Endpoint{
					"e": {Name: "e", Address: "10.0.0.1:1", Wanted: &wire.Wanted{Model: "m"}},
				}}, []core.EndpointID{"e"})
				for range seconds {
					if tt.takes {
						p.Answered("e", tt.leaves)
					}
					time.Sleep(time.Second)
				}
				is.True(r.polls.Load() <= tt.most)
				is.True(r.polls.Load() >= tt.least)
				is.Equal(p.Reports()["e"].Accepting, !tt.leaves)
			})
		})
	}
}

// An endpoint that takes calls is polled seldom; what the instance list says of it must not wait for a poll.
func TestListLeavingBetweenPolls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := logrus.New()
		log.SetOutput(io.Discard)
		var leaving atomic.Bool
		p := pool.New(core.NewShared(log.WithField("test", t.Name())), "m/0", fifo.New(),
			func(string) core.Runner { return &polledRunner{} }, pool.WithListLeaving(func(string) bool { return leaving.Load() }))
		defer p.Close()
		p.Configure(&core.Config{Endpoints: map[core.EndpointID]*wire.Endpoint{
			"e": {Name: "e", Address: "10.0.0.1:1", Wanted: &wire.Wanted{Model: "m"}},
		}}, []core.EndpointID{"e"})
		time.Sleep(time.Second)
		p.Answered("e", false)
		synctest.Wait()
		leaving.Store(true)
		time.Sleep(100 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, _, err := p.Admit(ctx, core.Call{ID: "late"})
		is.Equal(core.KindOf(err), core.KindDeadline) // not admitted
		leaving.Store(false)
		_, _, err = p.Admit(t.Context(), core.Call{ID: "next"})
		is.NoErr(err)
	})
}
