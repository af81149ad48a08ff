package scale

import (
	"context"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"snipeshed/conf"
	"snipeshed/core"
	"snipeshed/core/member"
	"snipeshed/core/state"
	"snipeshed/io/link"
	"snipeshed/io/relay"
	"snipeshed/io/roster"
	"snipeshed/io/store"
	"snipeshed/stand/objs"
	"snipeshed/wire"
)

// domains is the number of failure domains at the target size (design 1.6).
const domains = 4

// Rates that the object API allows (design 1.4); a burst may use those of one second at once.
const (
	storeReads  = 2000
	storeWrites = 300
)

// startTimeout bounds the start of a fleet.
const startTimeout = 25 * time.Second

// instance is the control plane of one instance, with connections of its own.
type instance struct {
	*relay.Relay
	peer     core.Peer
	members  *member.Member
	state    *state.State
	store    *store.Store
	roster   *roster.Roster
	platform *link.Link
	accepted *link.Link
	server   *link.Server
	calls    atomic.Int64
	silent   atomic.Bool
	removed  bool

	relaysPerDomain int
}

// bytes returns what the instance sent and received at its end of every connection.
func (n *instance) bytes() (sent, received int64) {
	for _, count := range []func() (int64, int64){n.Bytes, n.accepted.Bytes, n.platform.Bytes, n.roster.Bytes} {
		s, r := count()
		sent += s
		received += r
	}
	return sent, received
}

// fleet is a platform and the instances that use it.
type fleet struct {
	platform  *objs.Objs
	instances []*instance
	watch     *watch
	number    uint64
	teams     int
}

func newFleet(c Case) (*fleet, error) {
	f := &fleet{platform: objs.New(objs.WithRates(storeReads, storeWrites)), watch: newWatch(), teams: c.Teams}
	if err := f.platform.Start(); err != nil {
		return nil, err
	}
	for i := range c.Endpoints {
		f.platform.SetInstance(objs.Instance{
			ID: fmt.Sprintf("runner-%04d", i), Address: fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250),
			FailureDomain: domain(i), Kind: member.KindEndpoint, State: member.StateLive,
		})
	}
	var listeners []net.Listener
	for i := range c.Instances {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Join(err, f.close())
		}
		listeners = append(listeners, ln)
		f.platform.SetInstance(objs.Instance{
			ID: fmt.Sprintf("instance-%03d", i), Address: ln.Addr().String(), FailureDomain: domain(i),
			Kind: member.KindInstance, State: member.StateLive,
		})
	}
	for i, ln := range listeners {
		f.instances = append(f.instances, f.newInstance(i, ln))
	}
	return f, f.writeTickets(c)
}

func domain(i int) core.FailureDomain { return core.FailureDomain(fmt.Sprintf("domain-%d", i%domains)) }

func settings(platformURL string) *conf.Settings {
	cfg := &conf.Settings{PlatformUrl: platformURL}
	conf.SetDefaults(cfg)
	return cfg
}

func (f *fleet) newInstance(i int, ln net.Listener) *instance {
	log := logrus.New()
	log.SetOutput(io.Discard)
	shared := core.NewShared(logrus.NewEntry(log))
	cfg := settings(f.platform.URL())
	n := &instance{
		peer:     core.Peer{ID: core.InstanceID(fmt.Sprintf("instance-%03d", i)), Address: ln.Addr().String(), FailureDomain: domain(i)},
		state:    state.New(),
		roster:   roster.New(cfg),
		platform: link.New(cfg),

		relaysPerDomain: int(cfg.GetRelaysPerDomain()),
	}
	n.members = member.New(n.peer, time.Duration(cfg.GetSuspectMs())*time.Millisecond)
	n.store = store.New(shared, cfg, n.platform)
	n.Relay = relay.New(shared, cfg, n.members, n.state, n.store, n.roster)
	h := n.Handler()
	n.accepted = link.New(cfg)
	n.server = n.accepted.PeerServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.calls.Add(1)
		if n.silent.Load() {
			<-r.Context().Done()
			return
		}
		h.ServeHTTP(w, r)
	}))
	n.server.SetErrorLog(stdlog.New(io.Discard, "", 0))         // connections to removed instances break
	go func() { _ = n.server.Serve(n.accepted.Listener(ln)) }() // ends when the instance is closed
	return n
}

// outage is how long the store stays down after the whole fleet has been started; it spans the first retries.
//
// It stands for an hour without store: the breaker's delay stops growing within seconds, and no ticket is
// accepted meanwhile, so an instance that has waited for an hour is in the same state.
const outage = time.Second

// start starts all instances at once while the store is down and returns the time from the store's return
// until each instance is ready, in order.
func (f *fleet) start(ctx context.Context) ([]time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	f.platform.SetOutage(objs.OutageRefuse)
	for _, n := range f.instances {
		n.Start()
	}
	if err := sleep(ctx, outage); err != nil {
		return nil, err
	}
	f.platform.SetOutage(objs.OutageNone)
	began := time.Now()
	times := make([]time.Duration, len(f.instances))
	var g errgroup.Group
	for i, n := range f.instances {
		g.Go(func() error {
			select {
			case <-n.Ready():
				times[i] = time.Since(began)
				n.state.Subscribe(func(c *core.Config) { f.watch.inForce(n, c.Number) })
				return nil
			case <-ctx.Done():
				return fmt.Errorf("instance %s is not ready: %w", n.peer.ID, ctx.Err())
			}
		})
	}
	err := g.Wait()
	slices.Sort(times)
	return times, err
}

func (n *instance) close() {
	_ = n.server.Close()
	n.Close()
	n.store.Close()
	n.roster.Close()
}

func (f *fleet) close() error {
	var g sync.WaitGroup
	for _, n := range f.instances {
		g.Go(n.close)
	}
	g.Wait()
	return f.platform.Close()
}

// remove makes every instance of one failure domain silent at once, as a loss of power does: nothing answers and
// nothing is closed. The instance list still shows them as live.
func (f *fleet) remove(d core.FailureDomain) {
	var removed []*instance
	for _, n := range f.live() {
		if n.peer.FailureDomain == d {
			n.silent.Store(true)
			n.removed = true
			removed = append(removed, n)
		}
	}
	var g sync.WaitGroup
	for _, n := range removed {
		g.Go(n.Close)
	}
	g.Wait()
}

func (f *fleet) live() (live []*instance) {
	for _, n := range f.instances {
		if !n.removed {
			live = append(live, n)
		}
	}
	return live
}

// commentBytes makes a ticket of about 1 kB (design 5.1).
const commentBytes = 850

func (f *fleet) next(item *wire.Item) *wire.Ticket {
	f.number++
	return &wire.Ticket{
		Number: f.number, Id: core.NewRandomID(), Base: f.number - 1, Author: "morning",
		Comment: fmt.Sprintf("%0*d", commentBytes, f.number), Items: []*wire.Item{item},
	}
}

func (f *fleet) team(i int) *wire.Item {
	return &wire.Item{Body: &wire.Item_Team{Team: &wire.Team{
		Name: fmt.Sprintf("team-%03d", i%f.teams), Weight: int64(i%5 + 1),
		Keys: []*wire.Key{{Sha256: fmt.Sprintf("%064x", i%f.teams), Rank: "urgent"}},
	}}}
}

// writeTickets fills the log before the fleet starts: the endpoints in batches, then teams.
func (f *fleet) writeTickets(c Case) error {
	ctx := context.Background()
	log := logrus.New()
	log.SetOutput(io.Discard)
	cfg := settings(f.platform.URL())
	s := store.New(core.NewShared(logrus.NewEntry(log)), cfg, link.New(cfg))
	defer s.Close()
	const batch = 100
	for i := 0; i < c.Endpoints; i += batch {
		t := f.next(f.team(i))
		for j := i; j < min(i+batch, c.Endpoints); j++ {
			t.Items = append(t.Items, &wire.Item{Body: &wire.Item_Endpoint{Endpoint: &wire.Endpoint{
				Name: fmt.Sprintf("runner-%04d", j), Address: fmt.Sprintf("10.0.%d.%d:9000", j/250, j%250),
				FailureDomain: string(domain(j)), Wanted: &wire.Wanted{Model: fmt.Sprintf("model-%d", j%10), Version: "1"},
			}}})
		}
		if err := put(ctx, s, t); err != nil {
			return err
		}
	}
	for i := int(f.number); i < c.Tickets; i++ {
		if err := put(ctx, s, f.next(f.team(i))); err != nil {
			return err
		}
	}
	return nil
}

func put(ctx context.Context, s core.Store, t *wire.Ticket) error {
	b, err := state.EncodeTicket(t)
	if err != nil {
		return err
	}
	_, err = s.Put(ctx, state.TicketKey(core.TicketNumber(t.GetNumber())), b, 0)
	return err
}

// accept writes a ticket through one instance, as its operator API would, and returns when it was accepted.
func (f *fleet) accept(ctx context.Context, n *instance) (core.TicketNumber, time.Time, error) {
	t := f.next(f.team(int(f.number)))
	f.watch.expect(core.TicketNumber(t.GetNumber()), len(f.live()))
	if err := put(ctx, n.store, t); err != nil {
		return 0, time.Time{}, err
	}
	at := time.Now()
	return core.TicketNumber(t.GetNumber()), at, n.Learn(t)
}
