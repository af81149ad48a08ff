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

var errRefused = errors.New("connection refused")

// testCluster is a fleet in virtual time: peers call each other directly, and the platform is in memory.
type testCluster struct {
	t     *testing.T
	mu    sync.Mutex
	nodes []*node
	// peerErr returns the error of a call from one instance to another, storeErr that of a call to the platform.
	peerErr     func(from, to *node) error
	storeErr    func(n *node) error
	store       *mem.Store
	list        []*wire.Instance
	listRev     uint64
	peerCalls   int    // between instances
	ticketsSent int    // tickets sent between instances
	storePuts   int    // by all instances, without conflicts
	accepted    uint64 // tickets so far, including deleted ones
	// deleteFault returns whether a deletion takes effect and the error that its caller receives.
	deleteFault func(key string) (bool, error)
}

type node struct {
	*Gossiper
	cluster *testCluster
	peer    core.Peer
	state   *state.State
	cfg     *conf.Settings
	// calls counts the calls to this node, and unexpectedCalls those by peers of which it is neither partner nor parent. Both
	// are guarded by cluster.mu.
	calls, unexpectedCalls int
	// ticketsServed counts the tickets in this node's answers to exchanges; it is guarded by cluster.mu.
	ticketsServed int
}

var errNoAnswer = errors.New("no answer")

func newTestCluster(t *testing.T) *testCluster {
	return &testCluster{
		t: t, store: mem.New(),
		peerErr:  peersReachable,
		storeErr: platformUp,
	}
}

func platformUp(*node) error          { return nil }
func platformRefuses(*node) error     { return errRefused }
func platformSilent(*node) error      { return errNoAnswer }
func peersReachable(_, _ *node) error { return nil }
func peersRefuse(_, _ *node) error    { return errRefused }

// setPeerFault sets the error of calls between instances.
func (w *testCluster) setPeerFault(fn func(from, to *node) error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.peerErr = fn
}

// setPlatformFault sets the error of calls to the platform.
func (w *testCluster) setPlatformFault(fn func(n *node) error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.storeErr = fn
}

// add creates an instance in a failure domain and adds it to the instance list.
func (w *testCluster) add(domain string, change ...func(*conf.Settings)) *node {
	w.mu.Lock()
	i := len(w.nodes)
	n := &node{cluster: w, state: state.New(), peer: core.Peer{
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
	g := New(core.NewCommon(logrus.NewEntry(log)), n.cfg, members, n.state, n.cluster.store.Client(mem.WithFaults(n.storeFault)),
		listClient{n}, WithDialer(n.dialPeer))
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.Gossiper = g
}

// startInstances creates instances, starts all that exist and waits until they are ready.
func (w *testCluster) startInstances(size, domains int) []*node {
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

func (w *testCluster) close() {
	for _, n := range w.nodes {
		n.Close()
	}
}

func (w *testCluster) setListed(n *node, state string) {
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

// acceptTicket writes the next ticket to the store.
func (w *testCluster) acceptTicket() *wire.Ticket {
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
	return &peerClient{from: n, address: address}, func() {}
}

// isPartnerOrParent reports whether an address is that of a partner or of the parent.
func (n *node) isPartnerOrParent(address string) bool {
	parent, _ := n.parent(time.Now())
	n.mu.Lock()
	defer n.mu.Unlock()
	return parent.Address == address || slices.ContainsFunc(n.partners, func(p core.Peer) bool { return p.Address == address })
}

// peerClient calls a peer as over a connection, with copies of the messages.
type peerClient struct {
	from    *node
	address string
}

func (l *peerClient) server(ctx context.Context) (*server, error) {
	time.Sleep(time.Millisecond)
	w := l.from.cluster
	known := l.from.isPartnerOrParent(l.address)
	w.mu.Lock()
	i := slices.IndexFunc(w.nodes, func(n *node) bool { return n.peer.Address == l.address })
	if i < 0 {
		w.mu.Unlock()
		return nil, errRefused
	}
	n := w.nodes[i]
	w.peerCalls++
	n.calls++
	if !known {
		n.unexpectedCalls++
	}
	g, fails := n.Gossiper, w.peerErr
	w.mu.Unlock()
	err := fails(l.from, n)
	if errors.Is(err, errNoAnswer) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &server{g}, err
}

func (l *peerClient) Exchange(ctx context.Context, d *wire.Digest) (*wire.Delta, error) {
	s, err := l.server(ctx)
	if err != nil {
		return nil, err
	}
	out, err := s.Exchange(ctx, proto.CloneOf(d))
	l.countTickets(out.GetTickets())
	w := l.from.cluster
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes[slices.IndexFunc(w.nodes, func(n *node) bool { return n.peer.Address == l.address })].ticketsServed += len(out.GetTickets())
	return proto.CloneOf(out), err
}

func (l *peerClient) Push(ctx context.Context, d *wire.Delta) (*wire.Digest, error) {
	s, err := l.server(ctx)
	if err != nil {
		return nil, err
	}
	l.countTickets(d.GetTickets())
	return s.Push(ctx, proto.CloneOf(d))
}

func (l *peerClient) countTickets(ts []*wire.Ticket) {
	l.from.cluster.mu.Lock()
	defer l.from.cluster.mu.Unlock()
	l.from.cluster.ticketsSent += len(ts)
}

func (l *peerClient) State(ctx context.Context, d *wire.Digest) (*wire.Snapshot, error) {
	s, err := l.server(ctx)
	if err != nil {
		return nil, err
	}
	out, err := s.State(ctx, d)
	return proto.CloneOf(out), err
}

// platformCall simulates a call of this node to the platform: it returns the call's error, and only after ctx has ended if the
// platform does not answer.
func (n *node) platformCall(ctx context.Context) error {
	n.cluster.mu.Lock()
	fails := n.cluster.storeErr
	n.cluster.mu.Unlock()
	err := fails(n)
	if errors.Is(err, errNoAnswer) {
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}

// storeFault makes calls to the store fail like platformCall, and deletions as deleteFault returns.
func (n *node) storeFault(c mem.Call) mem.Fault {
	n.cluster.mu.Lock()
	fails := n.cluster.storeErr
	n.cluster.mu.Unlock()
	switch err := fails(n); {
	case errors.Is(err, errNoAnswer):
		return mem.Fault{Refuse: true, Delay: math.MaxInt64}
	case err != nil:
		return mem.Fault{Refuse: true, Err: err}
	}
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	o, found := n.cluster.store.Object(c.Key)
	switch {
	case o.Version != c.Version:
	case c.Op == mem.OpPut:
		n.cluster.storePuts++
	case c.Op == mem.OpDelete && found && n.cluster.deleteFault != nil:
		effect, err := n.cluster.deleteFault(c.Key)
		return mem.Fault{Drop: !effect, Err: err}
	}
	return mem.Fault{}
}

type listClient struct{ *node }

func (r listClient) List(ctx context.Context, since uint64) ([]*wire.Instance, uint64, error) {
	if err := r.platformCall(ctx); err != nil {
		return nil, 0, err
	}
	r.cluster.mu.Lock()
	defer r.cluster.mu.Unlock()
	var out []*wire.Instance
	for _, e := range r.cluster.list {
		if e.GetRevision() > since {
			out = append(out, proto.CloneOf(e))
		}
	}
	return out, r.cluster.listRev, nil
}

// inVirtualTime runs a scenario in virtual time and closes the fleet; the test fails if a goroutine is left.
func inVirtualTime(t *testing.T, fn func(t *testing.T, w *testCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newTestCluster(t)
		defer w.close() // also after a failed check, whose message would be lost in a report of blocked goroutines
		fn(t, w)
	})
}
