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
	"snipeshed/io/event"
	"snipeshed/io/news"
)

const (
	// turnInterval is the time between two decisions whether this instance watches.
	turnInterval = 50 * time.Millisecond
	// upSpan is longer than the store holds a watch.
	upSpan       = 3 * time.Second
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 800 * time.Millisecond
	// batch is the wait after a change, so that changes of the same moment cost one call of the store; standbyBatch is that
	// of instances that watch in case the first one fails.
	batch        = 50 * time.Millisecond
	standbyBatch = 300 * time.Millisecond
	// Instances that start together find each other before any of them watches, or all would: until their number has not
	// grown for settleTime, and no longer than longestSettle.
	settleTime    = 700 * time.Millisecond
	longestSettle = 1800 * time.Millisecond
	// peersFirst is how long a starting instance waits for other instances before it reads the store.
	peersFirst = 150 * time.Millisecond
	// seedFirst is the same for an instance that is not among the seeds, which those that start together hear from first.
	seedFirst = 500 * time.Millisecond
	// maxObjects bounds the reading of one kind.
	maxObjects = 100_000
)

// Kinds names what is read from the store.
type Kinds struct {
	Rules     string // kind of configurations
	MainRules string // name of the only one
	Endpoints string
}

// Watch reads the store until Close.
type Watch struct {
	Kinds
	store core.Store
	news  *news.News
	log   *event.Log
	turns Turns
	down  atomic.Bool
	// historyGone is set when the store no longer has the changes after the known revision of the endpoint list.
	historyGone atomic.Bool
	up          atomic.Int64 // when the store last answered, in ns since start
	start       time.Time
	// refresh asks for one reading of the store.
	refresh chan struct{}
	ctx     context.Context
	stop    context.CancelFunc
	group   sync.WaitGroup
}

// Turns say what this instance does for all.
type Turns struct {
	// Watches reports whether it is one of those that watch.
	Watches func(storeDown, storeUp bool) bool
	// Leads reports whether it is the first of them.
	Leads func(storeDown, storeUp bool) bool
	// Seed is set if other instances look for this one when they start.
	Seed bool
	// Outage reports whether the store is down for all.
	Outage func(storeDown, storeUp bool) bool
	// Instances returns the number of live instances.
	Instances func() int
}

// New returns a Watch.
func New(store core.Store, kinds Kinds, n *news.News, log *event.Log, turns Turns) *Watch {
	w := &Watch{Kinds: kinds, store: store, news: n, log: log, turns: turns, start: time.Now(), refresh: make(chan struct{}, 1)}
	w.ctx, w.stop = context.WithCancel(context.Background())
	return w
}

// Start begins to read.
func (w *Watch) Start() { w.group.Go(w.run) }

// Down reports whether the last call of the store failed.
func (w *Watch) Down() bool { return w.down.Load() }

// Up reports whether the store has answered in the last seconds and has not failed since.
func (w *Watch) Up() bool {
	at := w.up.Load()
	return !w.Down() && at != 0 && time.Since(w.start)-time.Duration(at) < upSpan
}

// Refresh reads the store once, as other instances know more than this one and it cannot learn it from them.
func (w *Watch) Refresh() {
	select {
	case w.refresh <- struct{}{}:
	default:
	}
}

// Close ends reading and waits for it.
func (w *Watch) Close() {
	w.stop()
	w.group.Wait()
}

func (w *Watch) run() {
	w.first()
	if !w.settle() {
		return
	}
	for w.ctx.Err() == nil {
		if w.turn() {
			w.watch()
			continue
		}
		if !w.sleep(turnInterval) {
			return
		}
		w.try()
	}
}

// settle waits until the instances that start together have found each other.
func (w *Watch) settle() bool {
	begun := time.Now()
	grown, n := begun, w.turns.Instances()
	for time.Since(grown) < settleTime && time.Since(begun) < longestSettle {
		if !w.sleep(turnInterval) {
			return false
		}
		if now := w.turns.Instances(); now > n {
			grown, n = time.Now(), now
		}
	}
	return true
}

func (w *Watch) turn() bool { return w.turns.Watches(w.Down(), w.Up()) }

// try reads the store once when it was asked to, or at random in an outage, as the store may be down only for those that
// have tried; in each second one instance does so on average.
func (w *Watch) try() {
	select {
	case <-w.refresh:
		w.readOnce()
		return
	default:
	}
	if !w.turns.Outage(w.Down(), w.Up()) || rand.N(time.Duration(w.turns.Instances())*time.Second) > turnInterval {
		return
	}
	w.readOnce()
}

func (w *Watch) readOnce() {
	if err := w.read(w.ctx); err != nil {
		w.lost(err)
		return
	}
	w.regained()
}

// first reads the store once, unless other instances gave everything before. What is not there yet reaches those that
// watch first.
func (w *Watch) first() {
	wait := seedFirst
	if w.turns.Seed {
		wait = peersFirst
	}
	for backoff := wait; !w.news.Known(); backoff = min(2*backoff, maxBackoff) {
		if !w.sleep(jitter(backoff)) || w.news.Known() {
			return
		}
		err := w.read(w.ctx)
		if err == nil {
			w.regained()
			return
		}
		w.lost(err)
	}
}

// read reads both kinds whole.
func (w *Watch) read(ctx context.Context) error {
	_, errRules := w.listRules(ctx)
	_, errEndpoints := w.listEndpoints(ctx)
	return errors.Join(errRules, errEndpoints)
}

func (w *Watch) listRules(ctx context.Context) (core.Version, error) {
	list, at, err := w.store.List(ctx, w.Rules, "", maxObjects)
	if err != nil {
		return 0, err
	}
	for _, o := range list {
		w.takeRules(o)
	}
	return at, nil
}

// endpointsSince returns the revision of the endpoint list that this instance knows, or lists it. A history that is gone
// is found by the watch.
func (w *Watch) endpointsSince(ctx context.Context) (core.Version, error) {
	if _, known := w.news.Versions(); known > 0 && !w.historyGone.Swap(false) {
		return known, nil
	}
	return w.listEndpoints(ctx)
}

func (w *Watch) takeRules(o core.Object) {
	if o.Key == w.Rules+"/"+w.MainRules {
		w.news.TakeRules(o.Value, "store")
	}
}

func (w *Watch) listEndpoints(ctx context.Context) (core.Version, error) {
	list, at, err := w.store.List(ctx, w.Endpoints, "", maxObjects)
	if err != nil {
		return 0, err
	}
	raw := make(map[string][]byte, len(list))
	for _, o := range list {
		raw[w.name(o.Key)] = o.Value
	}
	w.news.TakeEndpoints(at, raw, "store")
	return at, nil
}

func (w *Watch) name(key string) string { return strings.TrimPrefix(key, w.Endpoints+"/") }

// watch follows both kinds until it is another instance's turn.
func (w *Watch) watch() {
	ctx, cancel := context.WithCancel(w.ctx)
	defer cancel()
	w.log.Emit(event.WatchBegan, nil)
	var g sync.WaitGroup
	g.Go(func() { w.follow(ctx, w.Rules, w.listRules, w.changedRules) })
	g.Go(func() { w.follow(ctx, w.Endpoints, w.endpointsSince, w.changedEndpoint) })
	for w.turn() && w.sleep(turnInterval) {
	}
	cancel()
	g.Wait()
	w.log.Emit(event.WatchEnded, nil)
}

func (w *Watch) changedRules(c *core.Change) {
	if !c.Deleted {
		w.takeRules(c.Object)
	}
}

func (w *Watch) changedEndpoint(c *core.Change) {
	if c.Deleted {
		w.news.ChangeEndpoint(c.Version, w.name(c.Key), nil)
		return
	}
	w.news.ChangeEndpoint(c.Version, w.name(c.Key), c.Value)
}

// follow lists a kind and watches it from there, again and again, until ctx ends.
func (w *Watch) follow(ctx context.Context, kind string, list func(context.Context) (core.Version, error), change func(*core.Change)) {
	backoff := firstBackoff
	since := core.Version(0)
	changed := false
	for ctx.Err() == nil {
		var err error
		if since == 0 {
			since, err = list(ctx)
		}
		if err == nil {
			err = w.store.Watch(ctx, kind, since, func(c *core.Change) error {
				w.regained()
				backoff = firstBackoff
				if c != nil {
					change(c)
					since = max(since, c.Version)
					changed = true
					return ctx.Err()
				}
				if changed {
					changed = false
					sleep(ctx, w.batch())
				}
				return ctx.Err()
			})
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, core.ErrHistoryGone) {
			w.historyGone.Store(true)
			since = 0
			continue
		}
		w.lost(err)
		if !sleep(ctx, jitter(backoff)) {
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (w *Watch) batch() time.Duration {
	if w.turns.Leads(w.Down(), w.Up()) {
		return batch
	}
	return standbyBatch
}

func (w *Watch) lost(err error) {
	if !w.down.Swap(true) {
		w.log.Emit(event.StoreLost, event.Fields{"error": err})
	}
}

func (w *Watch) regained() {
	w.up.Store(int64(time.Since(w.start)))
	if w.down.Swap(false) {
		w.log.Emit(event.StoreRegained, nil)
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

// jitter keeps instances that failed together from asking again together.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }
