package fleet

import (
	"time"

	"snipeshed/conf"
	"snipeshed/stand/objs"
	"snipeshed/stand/runner"
	"snipeshed/wire"
)

// startTimeout bounds each step of Configure.
const startTimeout = 20 * time.Second

// composition holds how many endpoints and instances Start adds, and the options of the model runners.
type composition struct {
	runners, appRunners, instances int
	runnerOptions                  []runner.Option
}

// WithSize sets how many model runners, application runners and instances Start adds (default 3, 1, 3).
func WithSize(runners, appRunners, instances int) Option {
	return func(f *Fleet) {
		f.composition.runners, f.composition.appRunners, f.composition.instances = runners, appRunners, instances
	}
}

// WithRunnerOptions passes options to each runner that Start adds.
func WithRunnerOptions(opts ...runner.Option) Option {
	return func(f *Fleet) { f.composition.runnerOptions = append(f.composition.runnerOptions, opts...) }
}

// WithShortIntervals shortens the polling and gossip intervals and the leave delay, so that instances discover each
// other, and the load balancer notices a stopping one, sooner than by default.
func WithShortIntervals() Option {
	return func(f *Fleet) {
		WithPlatformOptions(objs.WithListLag(100 * time.Millisecond))(f)
		WithSettings(func(s *conf.Settings) {
			s.LeaveDelayMs, s.ListPollMs, s.GossipIntervalMs, s.LoadPollMs = new(int64(300)), 200, 200, 200
		})(f)
	}
}

// WithListLag sets the lag of the instance list. It also sets the polling and gossip intervals back to their defaults after
// WithShortIntervals, because the time limits of leaving are derived from the defaults.
func WithListLag(lag time.Duration) Option {
	return func(f *Fleet) {
		WithPlatformOptions(objs.WithListLag(lag))(f)
		WithSettings(func(s *conf.Settings) { s.ListPollMs, s.GossipIntervalMs, s.LoadPollMs = 1000, 1000, 2000 })(f)
	}
}

// Start returns a Fleet whose endpoints and instances are configured and accept requests. The caller must close a
// non-nil Fleet even if there is an error.
func Start(opts ...Option) (*Fleet, error) {
	f, err := New(opts...)
	if err != nil {
		return nil, err
	}
	if err := f.AddEndpoints(); err != nil {
		return f, err
	}
	for range f.composition.instances {
		if _, err := f.AddNode(); err != nil {
			return f, err
		}
	}
	return f, f.Configure(f.Ticket())
}

// AddEndpoints adds as many model and application runners as WithSize set.
func (f *Fleet) AddEndpoints() error {
	for range f.composition.runners {
		if _, err := f.AddRunner(append(f.composition.runnerOptions, runner.WithLoadLag(100*time.Millisecond))...); err != nil {
			return err
		}
	}
	for range f.composition.appRunners {
		if _, err := f.AddAppRunner(); err != nil {
			return err
		}
	}
	return nil
}

// Configure waits until all instances are ready and know each other, applies the first ticket and waits until all model
// runners accept requests.
func (f *Fleet) Configure(t *wire.Ticket) error {
	if err := f.WaitReady(startTimeout); err != nil {
		return err
	}
	err := Wait(startTimeout, "every instance knows the others", func() bool {
		for _, n := range f.Nodes {
			if n.PoolOwner(Pool) != f.Nodes[0].PoolOwner(Pool) || n.LivePeerCount() < len(f.Nodes)-1 {
				return false
			}
		}
		return true
	})
	if err != nil {
		return err
	}
	if _, err := f.ApplyEverywhere(f.Nodes[0], t, startTimeout/2); err != nil {
		return err
	}
	return f.WaitAccepting(startTimeout, len(f.Runners))
}
