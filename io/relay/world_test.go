package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"snipeshed/conf"
	"snipeshed/core"
	"snipeshed/core/member"
	"snipeshed/core/state"
	"snipeshed/stand/mem"
	"snipeshed/wire"
)

var errCut = errors.New("connection refused")

// world is a fleet in virtual time: peers call each other directly, and the platform is in memory.
type world struct {
	t     *testing.T
	mu    sync.Mutex
	nodes []*node
	// peerErr fails calls from one instance to another, storeErr those to the platform.
	peerErr  func(from, to *node) error
	storeErr func(n *node) error
	store    *mem.Mem
	list     []*wire.Instance
	listRev  uint64
	calls    int    // between instances
	sent     int    // tickets sent between instances
	puts     int    // of instances, without conflicts
	accepted uint64 // tickets so far, deleted ones included
	// deleteFault returns whether a deletion takes effect and the error that its caller gets.
	deleteFault func(key string) (bool, error)
}

type node struct {
	*Relay
	w     *world
	peer  core.Peer
	state *state.State
	cfg   *conf.Settings
	// asked counts calls of peers, and strangers those of peers of which this is neither partner nor parent, under w.mu.
	asked, strangers int
	// handed counts tickets handed to peers that asked, under w.mu.
	handed int
}

var errSilentPeer = errors.New("silent")

func newWorld(t *testing.T) *world {
	return &world{
		t: t, store: mem.New(),
		peerErr:  linked,
		storeErr: up,
	}
}

func up(*node) error             { return nil }
func down(*node) error           { return errCut }
func silent(*node) error         { return errSilentPeer }
func linked(_, _ *node) error    { return nil }
func separated(_, _ *node) error { return errCut }

// cut replaces the failures between instances.
func (w *world) cut(fn func(from, to *node) error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.peerErr = fn
}

// platform replaces the failures of the platform.
func (w *world) platform(fn func(n *node) error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.storeErr = fn
}

// add makes an instance in a failure domain; listed puts it into the instance list.
func (w *world) add(domain string, change ...func(*conf.Settings)) *node {
	w.mu.Lock()
	i := len(w.nodes)
	n := &node{w: w, state: state.New(), peer: core.Peer{
		ID: core.InstanceID(fmt.Sprintf("i%02d", i)), Address: fmt.Sprintf("10.0.0.1:%d", i), FailureDomain: core.FailureDomain(domain),
	}}
	w.nodes = append(w.nodes, n)
	w.mu.Unlock()
	n.cfg = &conf.Settings{}
	conf.SetDefaults(n.cfg)
	for _, c := range change {
		c(n.cfg)
	}
	w.setListed(n, member.StateLive)
	n.make()
	return n
}

func (n *node) make() {
	log := logrus.New()
	log.SetOutput(io.Discard)
	members := member.New(n.peer, ms(n.cfg.GetSuspectMs()))
	r := New(core.NewShared(logrus.NewEntry(log)), n.cfg, members, n.state, n.w.store.Client(mem.WithFaults(n.fault)), listOf{n}, WithDialer(n.dialPeer))
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	n.Relay = r
}

// fleet makes and starts instances in failure domains and waits until they are ready.
func (w *world) fleet(size, domains int) []*node {
	for i := range size {
		w.add(fmt.Sprintf("zone-%d", i%domains))
	}
	for _, n := range w.nodes {
		n.Start()
	}
	for _, n := range w.nodes {
		<-n.Ready()
	}
	return w.nodes
}

func (w *world) close() {
	for _, n := range w.nodes {
		n.Close()
	}
}

func (w *world) setListed(n *node, state string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.listRev++
	w.list = slices.DeleteFunc(slices.Clone(w.list), func(e *wire.Instance) bool { return e.GetId() == string(n.peer.ID) })
	w.list = append(w.list, &wire.Instance{
		Id: string(n.peer.ID), Address: n.peer.Address, FailureDomain: string(n.peer.FailureDomain),
		Kind: member.KindInstance, State: state, Revision: w.listRev,
	})
}

func ticket(n uint64) *wire.Ticket {
	return &wire.Ticket{Number: n, Id: fmt.Sprint("t", n), Items: []*wire.Item{
		{Body: &wire.Item_Team{Team: &wire.Team{Name: "tallinn", Weight: int64(n)}}},
	}}
}

// accept writes the next ticket into the store.
func (w *world) accept() *wire.Ticket {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.accepted++
	number := w.accepted
	t := ticket(number)
	t.AcceptedUnixMs = time.Now().UnixMilli()
	b, _ := state.EncodeTicket(t)
	if _, err := w.store.Put(context.Background(), state.TicketKey(core.TicketNumber(number)), b, 0); err != nil {
		w.t.Error(err)
	}
	return t
}

func (n *node) dialPeer(address string) (wire.Peer, func()) {
	return &wireTo{from: n, address: address}, func() {}
}

// isNear reports whether an address is that of a partner or of the parent.
func (n *node) isNear(address string) bool {
	parent, _ := n.parent(time.Now())
	n.mu.Lock()
	defer n.mu.Unlock()
	return parent.Address == address || slices.ContainsFunc(n.partners, func(p core.Peer) bool { return p.Address == address })
}

// wireTo calls a peer as a connection would, with its own copies of the messages.
type wireTo struct {
	from    *node
	address string
}

func (l *wireTo) server(ctx context.Context) (*server, error) {
	time.Sleep(time.Millisecond)
	w := l.from.w
	known := l.from.isNear(l.address)
	w.mu.Lock()
	i := slices.IndexFunc(w.nodes, func(n *node) bool { return n.peer.Address == l.address })
	if i < 0 {
		w.mu.Unlock()
		return nil, errCut
	}
	n := w.nodes[i]
	w.calls++
	n.asked++
	if !known {
		n.strangers++
	}
	r, fails := n.Relay, w.peerErr
	w.mu.Unlock()
	err := fails(l.from, n)
	if errors.Is(err, errSilentPeer) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &server{r}, err
}

func (l *wireTo) Exchange(ctx context.Context, d *wire.Digest) (*wire.Delta, error) {
	s, err := l.server(ctx)
	if err != nil {
		return nil, err
	}
	out, err := s.Exchange(ctx, proto.CloneOf(d))
	l.count(out.GetTickets())
	w := l.from.w
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes[slices.IndexFunc(w.nodes, func(n *node) bool { return n.peer.Address == l.address })].handed += len(out.GetTickets())
	return proto.CloneOf(out), err
}

func (l *wireTo) Push(ctx context.Context, d *wire.Delta) (*wire.Digest, error) {
	s, err := l.server(ctx)
	if err != nil {
		return nil, err
	}
	l.count(d.GetTickets())
	return s.Push(ctx, proto.CloneOf(d))
}

func (l *wireTo) count(ts []*wire.Ticket) {
	l.from.w.mu.Lock()
	defer l.from.w.mu.Unlock()
	l.from.w.sent += len(ts)
}

func (l *wireTo) State(ctx context.Context, d *wire.Digest) (*wire.Snapshot, error) {
	s, err := l.server(ctx)
	if err != nil {
		return nil, err
	}
	out, err := s.State(ctx, d)
	return proto.CloneOf(out), err
}

// reach fails as the store does for this instance.
func (n *node) reach(ctx context.Context) error {
	n.w.mu.Lock()
	fails := n.w.storeErr
	n.w.mu.Unlock()
	err := fails(n)
	if errors.Is(err, errSilentPeer) {
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}

// fault fails calls of the store as reach does, and deletions as deleteFault says.
func (n *node) fault(c mem.Call) mem.Fault {
	n.w.mu.Lock()
	fails := n.w.storeErr
	n.w.mu.Unlock()
	switch err := fails(n); {
	case errors.Is(err, errSilentPeer):
		return mem.Fault{Refuse: true, Delay: math.MaxInt64}
	case err != nil:
		return mem.Fault{Refuse: true, Err: err}
	}
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	o, found := n.w.store.Object(c.Key)
	switch {
	case o.Version != c.Version:
	case c.Op == mem.OpPut:
		n.w.puts++
	case c.Op == mem.OpDelete && found && n.w.deleteFault != nil:
		effect, err := n.w.deleteFault(c.Key)
		return mem.Fault{Drop: !effect, Err: err}
	}
	return mem.Fault{}
}

type listOf struct{ *node }

func (r listOf) List(ctx context.Context, since uint64) ([]*wire.Instance, uint64, error) {
	if err := r.reach(ctx); err != nil {
		return nil, 0, err
	}
	r.w.mu.Lock()
	defer r.w.mu.Unlock()
	var out []*wire.Instance
	for _, e := range r.w.list {
		if e.GetRevision() > since {
			out = append(out, proto.CloneOf(e))
		}
	}
	return out, r.w.listRev, nil
}

// inBubble runs a scenario in virtual time and closes the fleet, which fails if a goroutine stays.
func inBubble(t *testing.T, fn func(t *testing.T, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		defer w.close() // also after a failed check, whose message a blocked goroutine would hide
		fn(t, w)
	})
}
