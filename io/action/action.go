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
	core.Common
	store          core.Store
	config         core.ConfigSource
	cfg            *conf.Settings
	client         *http.Client
	instance       core.InstanceID
	endpointUsable func(core.EndpointID, string) bool
	retryBudget    RetryBudget

	members    core.Members
	retention  time.Duration
	stopSweeps context.CancelFunc

	transport     http.RoundTripper
	picker        picker
	endpointIndex atomic.Pointer[endpointIndex]

	// ctx is canceled to end background work once Close no longer waits for it.
	ctx    context.Context
	cancel context.CancelFunc
	mu     sync.Mutex
	closed bool
	wg     sync.WaitGroup
	// stopping is closed when Close begins, at the time stoppedAt.
	stopping         chan struct{}
	stoppedAt        time.Time
	abandonedRecords atomic.Int64
}

// errAbandoned is returned by Close when it leaves outcomes unrecorded.
var errAbandoned = errors.New("the object API did not accept the outcomes of all protected actions; those not recorded stay unknown")

// New returns an Action.
func New(shared core.Common, store core.Store, config core.ConfigSource, opts ...Option) *Action {
	a := &Action{Common: shared, store: store, config: config, retryBudget: unlimitedRetries{}, client: http.DefaultClient}
	for _, o := range opts {
		o(a)
	}
	if a.cfg == nil {
		a.cfg = &conf.Settings{}
		conf.SetDefaults(a.cfg)
	}
	if a.endpointUsable == nil {
		a.endpointUsable = func(core.EndpointID, string) bool { return true }
	}
	a.transport = newTransport(a.client.Transport)
	a.picker.openCalls = map[core.EndpointID]int{}
	a.stopping = make(chan struct{})
	a.ctx, a.cancel = context.WithCancel(context.Background())
	var ctx context.Context
	ctx, a.stopSweeps = context.WithCancel(a.ctx)
	if a.members != nil {
		a.wg.Go(func() { a.Supervise(ctx, "removing old records", func() { a.runSweeps(ctx) }) })
	}
	return a
}

// Serve handles a call to an application service. It panics with http.ErrAbortHandler when an answer ends before it is complete.
func (a *Action) Serve(
	w http.ResponseWriter, r *http.Request, id core.RequestID, cred core.Credential, service core.ServiceName, path string,
) {
	c, err := a.readCall(w, r, id, cred, service, path)
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

// Close stops accepting protected calls and waits until every record is written or abandoned, or until ctx ends.
func (a *Action) Close(ctx context.Context) error {
	a.mu.Lock()
	if !a.closed {
		a.closed, a.stoppedAt = true, a.Clock.Now()
		close(a.stopping)
	}
	a.mu.Unlock()
	a.stopSweeps()
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
	if err == nil && a.abandonedRecords.Load() > 0 {
		err = errAbandoned
	}
	return err
}

// countAbandoned counts an abandoned record if Close has begun.
func (a *Action) countAbandoned() {
	select {
	case <-a.stopping:
		a.abandonedRecords.Add(1)
	default:
	}
}

// startBackground runs fn in the background unless the Action is closed, and reports whether it does.
func (a *Action) startBackground(fn func()) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return false
	}
	a.wg.Go(func() { a.Protect("an action", fn) })
	return true
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
