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

// exchangeTimeout bounds a call to a peer; a peer that does not answer within 2 s counts as failed.
const exchangeTimeout = 2 * time.Second

// maxPeerCalls bounds the concurrent calls to peers, so that peers that do not answer cannot make them pile up.
const maxPeerCalls = 64

// State is the configuration of this instance, which gossip keeps up to date.
type State interface {
	// Config returns the configuration in force.
	Config() *core.Config
	// Number returns the number of the last applied ticket.
	Number() core.TicketNumber
	// Format returns the highest ticket format that Apply accepts.
	Format() uint32
	// Apply applies the next ticket, ignores an older one and returns an error for one that leaves a gap.
	Apply(t *wire.Ticket) error
	// TicketsAfter returns up to limit tickets after n, or false if some of them have been discarded.
	TicketsAfter(n core.TicketNumber, limit int) ([]*wire.Ticket, bool)
	// Snapshot returns the whole state.
	Snapshot() *wire.Snapshot
	// Load replaces the state with a newer snapshot and ignores an older one.
	Load(s *wire.Snapshot) error
}

// InstanceLister reads the platform's instance list.
type InstanceLister interface {
	// List returns the entries that changed after a revision, and the revision of the answer.
	List(ctx context.Context, since uint64) ([]*wire.Instance, uint64, error)
}

var _ core.ConfigSource = (*Gossiper)(nil)

// Gossiper keeps this instance's configuration and membership up to date and forwards changes; it is safe for concurrent use.
// Every instance has one, whether or not it is a relay of its failure domain.
type Gossiper struct {
	core.Common
	cfg       *conf.Settings
	members   *member.Membership
	state     State
	store     core.Store
	list      InstanceLister
	link      *link.Network
	dialer    func(address string) (wire.Peer, func())
	freshness *freshness
	run       uint64 // start time in Unix ms, which tells the runs of an instance apart

	leaving       atomic.Bool
	isReady       atomic.Bool
	blockedErr    atomic.Pointer[core.Error]
	blockedCh     chan struct{}
	ready         chan struct{}
	pushSignal    chan struct{}
	pullRequests  chan *wire.Digest
	catchUpSignal chan struct{}
	callSlots     chan struct{}

	mu      sync.Mutex
	clients map[string]*client
	// relayAskedAt is when a relay was last asked because the last store contact was older than half the freshness limit.
	relayAskedAt       time.Time
	partners           []core.Peer
	pending            map[core.TicketNumber]*wire.Ticket
	memberUpdates      []*wire.Word
	listChanged        bool
	pushedTicket       core.TicketNumber
	pushedListRevision uint64
	lastSnapshot       core.TicketNumber
	peerTickets        peerTickets

	stop    context.CancelFunc
	ctx     context.Context
	running sync.WaitGroup
}

// Option is an option of New.
type Option func(*Gossiper)

// WithDialer replaces the function that connects to peers; the function that it returns closes the connection.
func WithDialer(dial func(address string) (wire.Peer, func())) Option {
	return func(g *Gossiper) { g.dialer = dial }
}

// New returns a Gossiper; it is inactive until Start is called.
func New(s core.Common, cfg *conf.Settings, members *member.Membership, st State, store core.Store, list InstanceLister, opts ...Option) *Gossiper {
	g := &Gossiper{
		Common: s, cfg: cfg, members: members, state: st, store: store, list: list,
		link:          link.New(cfg),
		freshness:     newFreshness(s.Clock.Now(), ms(cfg.GetVouchLimitMs())),
		run:           uint64(s.Clock.Now().UnixMilli()),
		ready:         make(chan struct{}),
		blockedCh:     make(chan struct{}),
		pushSignal:    make(chan struct{}, 1),
		pullRequests:  make(chan *wire.Digest, 1),
		catchUpSignal: make(chan struct{}, 1),
		callSlots:     make(chan struct{}, maxPeerCalls),
		clients:       map[string]*client{},
		pending:       map[core.TicketNumber]*wire.Ticket{},
	}
	g.dialer = g.dial
	for _, opt := range opts {
		opt(g)
	}
	g.ctx, g.stop = context.WithCancel(context.Background())
	return g
}

// Start begins to catch up and to gossip. The channel of Ready is closed once the state is at least as new as that of the store
// or of half of the members.
func (g *Gossiper) Start() {
	g.supervise(g.ctx, "catching up at the start", func() {
		if !g.catchUpAtStart() {
			return
		}
		g.mu.Lock()
		g.pushedTicket, g.pushedListRevision = g.highestTicketLocked(), g.members.Revision()
		g.mu.Unlock()
		g.isReady.Store(true)
		close(g.ready)
		g.Log.WithField("ticket", g.state.Number()).Info("configuration loaded")
		g.supervise(g.ctx, "gossip", g.gossip)
		g.supervise(g.ctx, "pushing changes", g.pushChanges)
		g.supervise(g.ctx, "pulling changes", g.runPulls)
		g.supervise(g.ctx, "the relay role", g.runRelayRole)
		g.supervise(g.ctx, "deleting old tickets", g.trim)
	})
}

// Ready returns a channel that is closed once the state may be served.
func (g *Gossiper) Ready() <-chan struct{} { return g.ready }

// Close cancels all exchanges, waits for them and closes the connections to peers.
func (g *Gossiper) Close() {
	g.stop()
	g.running.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.clients {
		c.close()
	}
	clear(g.clients)
}

// Config returns the configuration in force.
func (g *Gossiper) Config() *core.Config { return g.state.Config() }

// CheckFresh returns nil, or a stale_state error if the configuration has not been confirmed as current within the
// limit or lacks an accepted ticket.
func (g *Gossiper) CheckFresh() error {
	if err := g.blockedErr.Load(); err != nil {
		return err
	}
	if g.isReady.Load() && g.freshness.fresh(g.Clock.Now()) {
		return nil
	}
	message := "this instance has neither reached the store nor half of its peers since it started"
	if g.isReady.Load() {
		message = "this instance has reached neither the store nor half of its peers within " + g.freshness.limit.String()
	}
	return &core.Error{
		Kind: core.KindStaleState, Message: message, Remedy: "retry; another instance can serve the request",
		Execution: core.NotExecuted, RetryAfter: time.Second,
	}
}

// Bytes returns the bytes sent and received on connections that this instance opened to peers.
func (g *Gossiper) Bytes() (sent, received int64) { return g.link.Bytes() }

// ApplyAccepted applies a ticket that this instance has accepted, or keeps it until the tickets before it have arrived.
func (g *Gossiper) ApplyAccepted(t *wire.Ticket) error {
	gap, err := g.applyTickets([]*wire.Ticket{t})
	if gap {
		wake(g.catchUpSignal)
	}
	return err
}

// Leave announces in digests that this instance is leaving, and pushes that to a few peers before it returns.
func (g *Gossiper) Leave(ctx context.Context) {
	g.leaving.Store(true)
	g.members.RecordSelfReport(g.Clock.Now(), g.members.Self().ID, g.run, true)
	d := &wire.Delta{Digest: g.digest(), Words: []*wire.Word{{Id: string(g.members.Self().ID), Run: g.run, Leaving: true}}}
	var wg sync.WaitGroup
	for _, p := range g.pushTargets(pushTargetsInDomain, pushTargetsOutsideDomain) {
		wg.Go(func() { _ = g.push(ctx, p, d) })
	}
	wg.Wait()
}

func (g *Gossiper) digest() *wire.Digest {
	now, age := g.Clock.Now(), int64(-1)
	if g.isReady.Load() && g.blockedErr.Load() == nil {
		age = g.freshness.storeAge(now).Milliseconds()
	}
	d := &wire.Digest{
		From: string(g.members.Self().ID), Ticket: uint64(g.state.Number()), ListRevision: g.members.Revision(),
		Leaving: g.leaving.Load(), VouchAgeMs: age, Run: g.run,
		WantReach: g.freshness.age(now) > g.freshness.limit/2,
	}
	if n := uint64(g.highestTicket()); n > d.GetTicket() {
		d.Held = n
	}
	return d
}

// spawn runs fn in the background; a panic ends only fn.
func (g *Gossiper) spawn(fn func()) {
	g.running.Go(func() { g.Protect("an exchange with peers", fn) })
}

// supervise runs fn in the background until ctx ends, again after a panic.
func (g *Gossiper) supervise(ctx context.Context, what string, fn func()) {
	g.running.Go(func() { g.Supervise(ctx, what, fn) })
}

// sleep waits for d and reports whether it passed before ctx ended.
func (g *Gossiper) sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// jittered returns a random duration from d/2 to 3d/2, so that instances with the same interval do not act at once.
func jittered(d time.Duration) time.Duration { return d/2 + rand.N(d) }

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Handler returns the HTTP handler for calls from peers under wire.PeerPathPrefix.
func (g *Gossiper) Handler() http.Handler {
	h := wire.NewPeerServer(&server{g})
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		// A Date header of 30 bytes that changes each second would be the largest part of an answer that has no changes.
		w.Header()["Date"] = nil
		h.ServeHTTP(w, req)
	})
}
