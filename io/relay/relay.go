package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"snipeshed/conf"
	"snipeshed/core"
	"snipeshed/core/member"
	"snipeshed/io/link"
	"snipeshed/wire"
)

// exchangeTimeout bounds a call to a peer; a peer that is silent for 2 s counts as failed (design 4.5).
const exchangeTimeout = 2 * time.Second

// maxCalls bounds the calls to peers in progress, so that silent peers cannot pile them up.
const maxCalls = 64

// State is the configuration that a Relay keeps up to date.
type State interface {
	// Config returns the configuration in force.
	Config() *core.Config
	// Number returns the number of the last applied ticket.
	Number() core.TicketNumber
	// Format returns the highest format of tickets that Apply takes.
	Format() uint32
	// Apply applies the next ticket, ignores an older one and refuses one after a gap.
	Apply(t *wire.Ticket) error
	// Since returns up to limit tickets after n, or false when some of them are no longer kept.
	Since(n core.TicketNumber, limit int) ([]*wire.Ticket, bool)
	// Snapshot returns the whole state.
	Snapshot() *wire.Snapshot
	// Load replaces the state by a newer snapshot and ignores an older one.
	Load(s *wire.Snapshot) error
}

// List reads the platform's instance list.
type List interface {
	// List returns the entries that changed after a revision, and the revision of the answer.
	List(ctx context.Context, since uint64) ([]*wire.Instance, uint64, error)
}

var _ core.ConfigSource = (*Relay)(nil)

// Relay keeps this instance's configuration and members up to date and passes news on; it is safe for concurrent use.
type Relay struct {
	core.Shared
	cfg     *conf.Settings
	members *member.Member
	state   State
	store   core.Store
	list    List
	link    *link.Link
	dialer  func(address string) (wire.Peer, func())
	vouch   *vouch
	run     uint64

	leaving  atomic.Bool
	isReady  atomic.Bool
	blocked  atomic.Pointer[core.Error]
	halted   chan struct{}
	ready    chan struct{}
	news     chan struct{}
	pulls    chan *wire.Digest
	catchUps chan struct{}
	calls    chan struct{}

	mu      sync.Mutex
	clients map[string]*client
	// askedRelay is when a relay was last asked because the state was getting stale.
	askedRelay time.Time
	partners   []core.Peer
	pending    map[core.TicketNumber]*wire.Ticket
	words      []*wire.Word
	listNews   bool
	pushed     core.TicketNumber
	listed     uint64
	snapped    core.TicketNumber
	ahead      ahead

	stop    context.CancelFunc
	ctx     context.Context
	running sync.WaitGroup
}

// Option changes a Relay while it is made.
type Option func(*Relay)

// WithDialer replaces the connections to peers; the returned function closes one.
func WithDialer(dial func(address string) (wire.Peer, func())) Option {
	return func(r *Relay) { r.dialer = dial }
}

// New returns a Relay that does nothing until Start.
func New(s core.Shared, cfg *conf.Settings, members *member.Member, st State, store core.Store, list List, opts ...Option) *Relay {
	r := &Relay{
		Shared: s, cfg: cfg, members: members, state: st, store: store, list: list,
		link:     link.New(cfg),
		vouch:    newVouch(s.Clock.Now(), ms(cfg.GetVouchLimitMs())),
		run:      uint64(s.Clock.Now().UnixMilli()),
		ready:    make(chan struct{}),
		halted:   make(chan struct{}),
		news:     make(chan struct{}, 1),
		pulls:    make(chan *wire.Digest, 1),
		catchUps: make(chan struct{}, 1),
		calls:    make(chan struct{}, maxCalls),
		clients:  map[string]*client{},
		pending:  map[core.TicketNumber]*wire.Ticket{},
	}
	r.dialer = r.dial
	for _, opt := range opts {
		opt(r)
	}
	r.ctx, r.stop = context.WithCancel(context.Background())
	return r
}

// Start begins to catch up and to exchange news; Ready is closed once the state is as new as the store's or that of half of the peers.
func (r *Relay) Start() {
	r.spawn(func() {
		if !r.catchUpAtStart() {
			return
		}
		r.mu.Lock()
		r.pushed, r.listed = r.topLocked(), r.members.Revision()
		r.mu.Unlock()
		r.isReady.Store(true)
		close(r.ready)
		r.Log.WithField("ticket", r.state.Number()).Info("configuration loaded")
		r.spawn(r.gossip)
		r.spawn(r.pushNews)
		r.spawn(r.pull)
		r.spawn(r.playRole)
		r.spawn(r.trim)
	})
}

// Ready is closed once the state may be served.
func (r *Relay) Ready() <-chan struct{} { return r.ready }

// Close ends all exchanges and waits for them.
func (r *Relay) Close() {
	r.stop()
	r.running.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.clients {
		c.close()
	}
	clear(r.clients)
}

// Config returns the configuration in force.
func (r *Relay) Config() *core.Config { return r.state.Config() }

// Fresh returns nil, or the stale_state error when nothing vouches for the configuration or it lacks an accepted ticket.
func (r *Relay) Fresh() error {
	if err := r.blocked.Load(); err != nil {
		return err
	}
	if r.isReady.Load() && r.vouch.fresh(r.Clock.Now()) {
		return nil
	}
	message := "this instance has neither reached the store nor half of its peers since it started"
	if r.isReady.Load() {
		message = "this instance has reached neither the store nor half of its peers within " + r.vouch.limit.String()
	}
	return &core.Error{
		Kind: core.KindStaleState, Message: message, Remedy: "retry; another instance can serve the request",
		Run: core.RunNot, RetryAfter: time.Second,
	}
}

// Bytes returns the bytes sent and received on connections that this instance opened to peers.
func (r *Relay) Bytes() (sent, received int64) { return r.link.Bytes() }

// Learn takes a ticket that was accepted here.
func (r *Relay) Learn(t *wire.Ticket) error {
	gap, err := r.apply([]*wire.Ticket{t})
	if gap {
		wake(r.catchUps)
	}
	return err
}

// Leave says in digests that this instance leaves, and tells a few peers before it returns.
func (r *Relay) Leave(ctx context.Context) {
	r.leaving.Store(true)
	r.members.Hear(r.Clock.Now(), r.members.Self().ID, r.run, true)
	d := &wire.Delta{Digest: r.digest(), Words: []*wire.Word{{Id: string(r.members.Self().ID), Run: r.run, Leaving: true}}}
	var told sync.WaitGroup
	for _, p := range r.targets(pushInside, pushOutside) {
		told.Go(func() { _ = r.push(ctx, p, d) })
	}
	told.Wait()
}

func (r *Relay) digest() *wire.Digest {
	now, age := r.Clock.Now(), int64(-1)
	if r.isReady.Load() && r.blocked.Load() == nil {
		age = r.vouch.storeAge(now).Milliseconds()
	}
	d := &wire.Digest{
		From: string(r.members.Self().ID), Ticket: uint64(r.state.Number()), ListRevision: r.members.Revision(),
		Leaving: r.leaving.Load(), VouchAgeMs: age, Run: r.run,
		WantReach: r.vouch.age(now) > r.vouch.limit/2,
	}
	if n := uint64(r.top()); n > d.GetTicket() {
		d.Held = n
	}
	return d
}

func (r *Relay) spawn(fn func()) { r.running.Go(fn) }

// sleep returns false when the Relay is closed before the time is over.
func (r *Relay) sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// jittered spreads instances that act in the same interval.
func jittered(d time.Duration) time.Duration { return d/2 + rand.N(d) }

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Handler returns the handler of peers' calls; it serves wire.PeerPathPrefix.
func (r *Relay) Handler() http.Handler {
	h := wire.NewPeerServer(&server{r})
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		// A date of 30 bytes that changes each second would be the largest part of an answer without news.
		w.Header()["Date"] = nil
		h.ServeHTTP(w, req)
	})
}
