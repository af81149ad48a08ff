package action

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"snipeshed/conf"
	"snipeshed/core"
	"snipeshed/io/reply"
)

// Action relays calls to application services.
type Action struct {
	core.Shared
	store    core.Store
	config   core.ConfigSource
	cfg      *conf.Settings
	client   *http.Client
	instance core.InstanceID
	usable   func(core.EndpointID, string) bool
	budget   Budget

	members   core.Members
	retention time.Duration
	sweeping  context.CancelFunc

	transport http.RoundTripper
	pick      picker
	index     atomic.Pointer[index]

	// ctx ends background work when Close stops waiting for it.
	ctx    context.Context
	cancel context.CancelFunc
	mu     sync.Mutex
	closed bool
	wg     sync.WaitGroup
	// stopping is closed at stopped, when Close begins.
	stopping  chan struct{}
	stopped   time.Time
	abandoned atomic.Int64
}

// errAbandoned is returned by Close when it leaves outcomes unrecorded.
var errAbandoned = errors.New("the object API did not take the outcomes of all protected actions; those left stay of unknown outcome")

// New returns an Action.
func New(shared core.Shared, store core.Store, config core.ConfigSource, opts ...Option) *Action {
	a := &Action{Shared: shared, store: store, config: config, budget: noBudget{}, client: http.DefaultClient}
	for _, o := range opts {
		o(a)
	}
	if a.cfg == nil {
		a.cfg = &conf.Settings{}
		conf.SetDefaults(a.cfg)
	}
	if a.usable == nil {
		a.usable = func(core.EndpointID, string) bool { return true }
	}
	a.transport = transport(a.client.Transport)
	a.pick.open = map[core.EndpointID]int{}
	a.stopping = make(chan struct{})
	a.ctx, a.cancel = context.WithCancel(context.Background())
	var ctx context.Context
	ctx, a.sweeping = context.WithCancel(a.ctx)
	if a.members != nil {
		a.wg.Go(func() { a.retain(ctx) })
	}
	return a
}

// Serve answers a call of an application service; it panics with http.ErrAbortHandler when an answer breaks off midway.
func (a *Action) Serve(
	w http.ResponseWriter, r *http.Request, id core.RequestID, cred core.Credential, service core.ServiceName, path string,
) {
	c, err := a.read(w, r, id, cred, service, path)
	if err != nil {
		reply.Error(w, id, err)
		return
	}
	if c.protected {
		a.serveProtected(w, r, c)
		return
	}
	a.servePlain(w, r, c)
}

// Close stops accepting protected calls and waits until every record is written or given up, or ctx ends.
func (a *Action) Close(ctx context.Context) error {
	a.mu.Lock()
	if !a.closed {
		a.closed, a.stopped = true, a.Clock.Now()
		close(a.stopping)
	}
	a.mu.Unlock()
	a.sweeping()
	finished := make(chan struct{})
	go func() {
		a.wg.Wait()
		close(finished)
	}()
	var err error
	select {
	case <-finished:
	case <-ctx.Done():
		err = ctx.Err()
	}
	a.cancel()
	<-finished
	if err == nil && a.abandoned.Load() > 0 {
		err = errAbandoned
	}
	return err
}

// countAbandoned counts a record that was given up because of Close.
func (a *Action) countAbandoned() {
	select {
	case <-a.stopping:
		a.abandoned.Add(1)
	default:
	}
}

// start runs fn in the background unless the Action is closed.
func (a *Action) start(fn func()) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return false
	}
	a.wg.Go(fn)
	return true
}

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
