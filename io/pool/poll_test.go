package pool_test

import (
	"context"
	"io"
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
	polls int
}

func (r *polledRunner) Load(context.Context) (core.RunnerLoad, error) {
	r.polls++
	return core.RunnerLoad{Model: "m", KVCapacity: 1000}, nil
}

// Polls of endpoints whose answers already tell that they are alive would use up the control traffic of an instance.
func TestPolls(t *testing.T) {
	const interval, seconds = 2 * time.Second, 40
	tests := []struct {
		name   string
		takes  bool
		leaves bool
		most   int
		least  int
	}{
		{name: "an idle endpoint is polled at each interval", least: seconds / 2, most: seconds/2 + 1},
		{name: "one that takes calls is polled at every fifth interval", takes: true, least: 4, most: 6},
		{name: "one that says that it leaves is polled and gets nothing", takes: true, leaves: true, least: seconds / 2, most: seconds/2 + 1},
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
				is.True(r.polls <= tt.most)
				is.True(r.polls >= tt.least)
				is.Equal(p.Reports()["e"].Accepting, !tt.leaves)
			})
		})
	}
}
