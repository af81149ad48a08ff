package watch

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"snipeshed/core"
	"snipeshed/core/evac"
	"snipeshed/io/event"
	"snipeshed/io/news"
)

const (
	// checkInterval is the time between two checks of whether this instance is to watch the store.
	checkInterval = 50 * time.Millisecond
	// upWindow is how long an answer counts as recent; it is longer than a slow store takes to end a watch.
	upWindow = 2 * time.Second
	// retryInterval is the time between two reads by an instance that does not watch the store and did not reach it.
	retryInterval = 2 * time.Second
	firstBackoff  = 50 * time.Millisecond
	maxBackoff    = 800 * time.Millisecond
	// batchDelay is the delay after a change before the next watch call, so that changes close together cost one call of
	// the store; standbyBatchDelay is the delay of the instances that watch only in case the first one fails.
	batchDelay        = 50 * time.Millisecond
	standbyBatchDelay = 300 * time.Millisecond
	// Instances that start together have not found each other yet, so all of them would watch the store. Each therefore waits
	// until the number of live instances has not grown for settleTime, but no longer than maxSettleTime.
	settleTime    = 700 * time.Millisecond
	maxSettleTime = 1800 * time.Millisecond
	// seedStartDelay is how long a starting seed waits for data from other instances before it reads the store.
	seedStartDelay = 150 * time.Millisecond
	// startDelay is the same for an instance that is not a seed: of the instances that start together, the seeds read first.
	startDelay = 500 * time.Millisecond
	// maxObjects bounds the number of objects of one kind that are read.
	maxObjects = 100_000
)

// Kinds are the names of what is read from the store.
type Kinds struct {
	Config     string // kind of the configuration
	ConfigName string // name of the only object of this kind that is used
	Endpoints  string // kind of the endpoint list
	// Evacuations is the kind of the evacuated failure domains, of which only the first watcher reads the changes; empty if they are
	// not read.
	Evacuations string
}

// Watch reads the store from Start until Close.
type Watch struct {
	Kinds
	evacuated *evac.Domains
	store     core.EraStore
	news      *news.News
	log       *event.Log
	role      Role
	down      atomic.Bool
	// historyGone is set when the store has dropped the changes after the known revision of a kind, or come back from a copy of itself,
	// so that the endpoint list must be read again.
	historyGone atomic.Bool
	lastAnswer  atomic.Int64 // when the store last answered, in ns since start
	watching    atomic.Bool  // this instance watches the store, or tries to
	reading     atomic.Bool  // and the store has answered since it began
	lastRead    time.Time    // when an instance that does not watch last read the store; used by run only
	start       time.Time
	// refreshRequest holds a request to read the store once.
	refreshRequest chan struct{}
	ctx            context.Context
	stop           context.CancelFunc
	group          sync.WaitGroup
}

// Role describes the part of this instance in the fleet.
type Role struct {
	// IsReader reports whether this instance is one of those that watch the store.
	IsReader func(own core.StoreAccess) bool
	// IsFirstReader reports whether this instance, which watches the store, is the first one that does.
	IsFirstReader func() bool
	// IsSeed is set if starting instances contact this one first.
	IsSeed bool
	// Outage reports whether the store counts as down for all instances.
	Outage func(storeDown, storeUp bool) bool
	// Instances returns the number of live instances.
	Instances func() int
	// OnAccess is called after this instance has begun to read the store or has failed to.
	OnAccess func()
	// OnEvacuations is called after the evacuated failure domains were read.
	OnEvacuations func()
}

// New returns a Watch; Start begins to read.
func New(store core.EraStore, kinds Kinds, n *news.News, evacuated *evac.Domains, log *event.Log, role Role) *Watch {
	w := &Watch{Kinds: kinds, evacuated: evacuated, store: store, news: n, log: log, role: role, start: time.Now(), refreshRequest: make(chan struct{}, 1)}
	w.ctx, w.stop = context.WithCancel(context.Background())
	return w
}

// Start starts reading in the background.
func (w *Watch) Start() { w.group.Go(w.run) }

// Down reports whether the last call of the store failed.
func (w *Watch) Down() bool { return w.down.Load() }

// Up reports whether the store has answered within upWindow and no call has failed since.
func (w *Watch) Up() bool {
	at := w.lastAnswer.Load()
	return !w.Down() && at != 0 && time.Since(w.start)-time.Duration(at) < upWindow
}

// Access returns the state of this instance's access to the store.
func (w *Watch) Access() core.StoreAccess {
	return core.StoreAccess{Down: w.Down(), Up: w.Up(), Watching: w.watching.Load(), Reading: w.reading.Load() && w.Up()}
}

// Refresh requests one read of the store, for when fetching newer data from another instance has failed.
func (w *Watch) Refresh() {
	select {
	case w.refreshRequest <- struct{}{}:
	default:
	}
}

// Close stops reading and waits until it has ended.
func (w *Watch) Close() {
	w.stop()
	w.group.Wait()
}

func (w *Watch) run() {
	w.readAtStart()
	if !w.settle() {
		return
	}
	for w.ctx.Err() == nil {
		if w.isReader() {
			w.watchStore()
			continue
		}
		if !w.sleep(checkInterval) {
			return
		}
		w.readIfNeeded()
	}
}

// settle waits until the number of live instances no longer grows. It returns false if the Watch was closed meanwhile.
func (w *Watch) settle() bool {
	begun := time.Now()
	grown, n := begun, w.role.Instances()
	for time.Since(grown) < settleTime && time.Since(begun) < maxSettleTime {
		if !w.sleep(checkInterval) {
			return false
		}
		if now := w.role.Instances(); now > n {
			grown, n = time.Now(), now
		}
	}
	return true
}

func (w *Watch) isReader() bool { return w.role.IsReader(w.Access()) }

// readIfNeeded reads the store once if that was requested, if it is time to try again after a failure, or at random in an outage, since
// the store may be down only for the instances that have called it. In an outage one instance a second does so on average.
func (w *Watch) readIfNeeded() {
	select {
	case <-w.refreshRequest:
		w.readOnce()
		return
	default:
	}
	if w.role.Outage(w.Down(), w.Up()) {
		if rand.N(time.Duration(w.role.Instances())*time.Second) <= checkInterval {
			w.readOnce()
		}
		return
	}
	if w.Down() && time.Since(w.lastRead) > retryInterval {
		w.readOnce()
	}
}

func (w *Watch) readOnce() {
	w.lastRead = time.Now()
	if err := w.listAll(w.ctx); err != nil {
		w.markDown(err)
		return
	}
	w.markUp()
}

// readAtStart reads the store once, unless other instances send the configuration and the endpoint list before that. Objects
// that the store does not have yet arrive later through the instances that watch.
func (w *Watch) readAtStart() {
	wait := startDelay
	if w.role.IsSeed {
		wait = seedStartDelay
	}
	for backoff := wait; !w.news.Loaded(); backoff = min(2*backoff, maxBackoff) {
		if !w.sleep(jitter(backoff)) || w.news.Loaded() {
			return
		}
		err := w.listAll(w.ctx)
		if err == nil {
			w.markUp()
			return
		}
		w.markDown(err)
	}
}

// listAll lists both kinds.
func (w *Watch) listAll(ctx context.Context) error {
	_, errConfig := w.listConfig(ctx)
	_, errEndpoints := w.listEndpoints(ctx)
	return errors.Join(errConfig, errEndpoints)
}

func (w *Watch) listConfig(ctx context.Context) (core.Revision, error) {
	list, at, err := w.store.List(ctx, w.Config, "", maxObjects)
	if err != nil {
		return core.Revision{}, err
	}
	w.markUp() // a watch is answered a second later
	for _, o := range list {
		w.apply(func() { w.applyConfig(o) })
	}
	return at, nil
}

// apply runs f, which applies what the store has sent. If f panics, that part of it is skipped: read again, it would end every
// instance again and again.
func (w *Watch) apply(f func()) {
	defer w.log.Recover("applying an object of the store")
	f()
}

// endpointsSince returns the revision of the known endpoint list, or lists the endpoints if none is known. Whether the store
// still has the changes since that revision shows when the watch starts.
func (w *Watch) endpointsSince(ctx context.Context) (core.Revision, error) {
	if _, known := w.news.Versions(); !known.IsZero() && !w.historyGone.Swap(false) {
		return known, nil
	}
	return w.listEndpoints(ctx)
}

func (w *Watch) applyConfig(o core.Object) {
	if o.Key == w.Config+"/"+w.ConfigName {
		w.news.UpdateConfig(o.Value, "store")
	}
}

func (w *Watch) listEndpoints(ctx context.Context) (core.Revision, error) {
	list, at, err := w.store.List(ctx, w.Endpoints, "", maxObjects)
	if err != nil {
		return core.Revision{}, err
	}
	raw := make(map[string][]byte, len(list))
	for _, o := range list {
		raw[w.entryName(o.Key)] = o.Value
	}
	w.apply(func() { w.news.ReplaceEndpoints(at, raw, "store") })
	return at, nil
}

func (w *Watch) entryName(key string) string { return strings.TrimPrefix(key, w.Endpoints+"/") }

// watchStore watches both kinds until this instance is no longer to do so.
func (w *Watch) watchStore() {
	ctx, cancel := context.WithCancel(w.ctx)
	defer cancel()
	w.log.Emit(event.WatchBegan, nil)
	w.watching.Store(true)
	var g sync.WaitGroup
	g.Go(func() { w.watchKind(ctx, w.Config, w.listConfig, w.applyConfigChange) })
	g.Go(func() { w.watchKind(ctx, w.Endpoints, w.endpointsSince, w.applyEndpointChange) })
	if w.Evacuations != "" {
		g.Go(func() { w.watchEvacuations(ctx) })
	}
	for w.isReader() && w.sleep(checkInterval) {
	}
	cancel()
	g.Wait()
	w.watching.Store(false)
	w.reading.Store(false)
	w.log.Emit(event.WatchEnded, nil)
}

func (w *Watch) applyConfigChange(_ core.Revision, c *core.Change) {
	if !c.Deleted {
		w.applyConfig(c.Object)
	}
}

func (w *Watch) applyEndpointChange(at core.Revision, c *core.Change) {
	if c.Deleted {
		w.news.ChangeEndpoint(at, w.entryName(c.Key), nil)
		return
	}
	w.news.ChangeEndpoint(at, w.entryName(c.Key), c.Value)
}

// watchKind lists a kind and watches it from that revision until ctx ends; after a failure it watches again, and after a
// lost history it lists again. onChange is called with each change and its revision.
func (w *Watch) watchKind(
	ctx context.Context, kind string, list func(context.Context) (core.Revision, error), onChange func(core.Revision, *core.Change),
) {
	backoff := firstBackoff
	since := core.Revision{}
	changed := false
	for ctx.Err() == nil {
		var err error
		if since.IsZero() {
			since, err = list(ctx)
		}
		if err == nil {
			err = w.store.Watch(ctx, kind, since, func(c *core.Change) error {
				w.markUp()
				backoff = firstBackoff
				if c != nil {
					w.apply(func() { onChange(core.Revision{Era: since.Era, Number: c.Version}, c) })
					since.Number = max(since.Number, c.Version)
					changed = true
					return ctx.Err()
				}
				if changed {
					changed = false
					sleep(ctx, w.batchTime())
				}
				return ctx.Err()
			})
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, core.ErrHistoryGone) {
			w.historyGone.Store(true)
			since = core.Revision{}
		} else {
			w.markDown(err)
		}
		if !sleep(ctx, jitter(backoff)) {
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (w *Watch) batchTime() time.Duration {
	if w.isFirstReader() {
		return batchDelay
	}
	return standbyBatchDelay
}

func (w *Watch) markDown(err error) {
	lost := !w.down.Swap(true)
	if lost {
		w.log.Emit(event.StoreLost, event.Fields{"error": err})
	}
	if w.reading.Swap(false) || lost {
		w.role.OnAccess()
	}
}

func (w *Watch) markUp() {
	w.lastAnswer.Store(int64(time.Since(w.start)))
	regained := w.down.Swap(false)
	if regained {
		w.log.Emit(event.StoreRegained, nil)
	}
	if w.watching.Load() && !w.reading.Swap(true) || regained {
		w.role.OnAccess()
	}
}

func (w *Watch) sleep(d time.Duration) bool { return sleep(w.ctx, d) }

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// jitter randomizes a delay, so that instances that failed at the same time do not retry at the same time.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }
