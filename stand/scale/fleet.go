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

// domainCount is the number of failure domains at the target size.
const domainCount = 4

// Rate limits of the object API per second; a burst may use the allowance of one second at once.
const (
	storeReadsPerSecond  = 2000
	storeWritesPerSecond = 300
)

// startTimeout bounds the start of a fleet.
const startTimeout = 25 * time.Second

// instance is the control plane of one snipeshed instance, with its own connections.
type instance struct {
	*relay.Gossiper
	peer         core.Peer
	members      *member.Membership
	state        *state.State
	store        *store.Store
	roster       *roster.Client
	platformLink *link.Network
	serverLink   *link.Network
	server       *link.Server
	calls        atomic.Int64 // requests received from peers
	unresponsive atomic.Bool  // set by removeDomain: requests are not answered
	removed      bool         // set by removeDomain

	relaysPerDomain int
}

// bytes returns the bytes that the instance sent and received over all its connections.
func (n *instance) bytes() (sent, received int64) {
	for _, count := range []func() (int64, int64){n.Bytes, n.serverLink.Bytes, n.platformLink.Bytes, n.roster.Bytes} {
		s, r := count()
		sent += s
		received += r
	}
	return sent, received
}

// fleet is a simulated platform and the instances that use it.
type fleet struct {
	platform   *objs.Platform
	instances  []*instance
	tracker    *ticketTracker
	lastTicket uint64
	teams      int
}

func newFleet(c Case) (*fleet, error) {
	f := &fleet{platform: objs.New(objs.WithRates(storeReadsPerSecond, storeWritesPerSecond)), tracker: newTicketTracker(), teams: c.Teams}
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

func domain(i int) core.FailureDomain {
	return core.FailureDomain(fmt.Sprintf("domain-%d", i%domainCount))
}

func settings(platformURL string) *conf.Settings {
	cfg := &conf.Settings{PlatformUrl: platformURL}
	conf.SetDefaults(cfg)
	return cfg
}

func (f *fleet) newInstance(i int, ln net.Listener) *instance {
	log := logrus.New()
	log.SetOutput(io.Discard)
	common := core.NewCommon(logrus.NewEntry(log))
	cfg := settings(f.platform.URL())
	n := &instance{
		peer:         core.Peer{ID: core.InstanceID(fmt.Sprintf("instance-%03d", i)), Address: ln.Addr().String(), FailureDomain: domain(i)},
		state:        state.New(),
		roster:       roster.New(cfg),
		platformLink: link.New(cfg),

		relaysPerDomain: int(cfg.GetRelaysPerDomain()),
	}
	n.members = member.New(n.peer, time.Duration(cfg.GetSuspectMs())*time.Millisecond)
	n.store = store.New(common, cfg, n.platformLink)
	n.Gossiper = relay.New(common, cfg, n.members, n.state, n.store, n.roster)
	handler := n.Handler()
	n.serverLink = link.New(cfg)
	n.server = n.serverLink.PeerServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.calls.Add(1)
		if n.unresponsive.Load() {
			<-r.Context().Done()
			return
		}
		handler.ServeHTTP(w, r)
	}))
	n.server.SetErrorLog(stdlog.New(io.Discard, "", 0))                   // would log the broken connections to removed instances
	go func() { _ = n.server.Serve(n.serverLink.CountingListener(ln)) }() // returns when the instance is closed
	return n
}

// outageDuration is the time for which the store stays down after all instances were started; it covers their first
// retries.
//
// It is representative of an outage of an hour: the circuit breaker reaches its longest retry delay within seconds and
// no ticket is accepted during the outage, so an instance that has waited for an hour is in the same state.
const outageDuration = time.Second

// start starts all instances at once while the store is down. It returns, sorted, the times from the end of the outage
// until each instance is ready.
func (f *fleet) start(ctx context.Context) ([]time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	f.platform.SetOutage(objs.OutageRefuse)
	for _, n := range f.instances {
		n.Start()
	}
	if err := sleep(ctx, outageDuration); err != nil {
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
				n.state.Subscribe(func(c *core.Config) { f.tracker.recordInForce(n, c.Number) })
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

// removeDomain makes all instances of one failure domain unresponsive at once, as a power failure does: they answer no
// request, but their connections stay open and the instance list still shows them as live.
func (f *fleet) removeDomain(d core.FailureDomain) {
	var removed []*instance
	for _, n := range f.liveInstances() {
		if n.peer.FailureDomain == d {
			n.unresponsive.Store(true)
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

func (f *fleet) liveInstances() (live []*instance) {
	for _, n := range f.instances {
		if !n.removed {
			live = append(live, n)
		}
	}
	return live
}

// commentBytes is the length of the comment that makes a ticket about 1 kB large.
const commentBytes = 850

func (f *fleet) nextTicket(item *wire.Item) *wire.Ticket {
	f.lastTicket++
	return &wire.Ticket{
		Number: f.lastTicket, Id: core.NewRandomID(), Base: f.lastTicket - 1, Author: "morning",
		Comment: fmt.Sprintf("%0*d", commentBytes, f.lastTicket), Items: []*wire.Item{item},
	}
}

func (f *fleet) teamItem(i int) *wire.Item {
	return &wire.Item{Body: &wire.Item_Team{Team: &wire.Team{
		Name: fmt.Sprintf("team-%03d", i%f.teams), Weight: int64(i%5 + 1),
		Keys: []*wire.Key{{Sha256: fmt.Sprintf("%064x", i%f.teams), Rank: "urgent"}},
	}}}
}

// writeTickets writes the ticket log before the fleet starts: first the endpoints in batches, then teams.
func (f *fleet) writeTickets(c Case) error {
	ctx := context.Background()
	log := logrus.New()
	log.SetOutput(io.Discard)
	cfg := settings(f.platform.URL())
	s := store.New(core.NewCommon(logrus.NewEntry(log)), cfg, link.New(cfg))
	defer s.Close()
	const endpointsPerTicket = 100
	for i := 0; i < c.Endpoints; i += endpointsPerTicket {
		t := f.nextTicket(f.teamItem(i))
		for j := i; j < min(i+endpointsPerTicket, c.Endpoints); j++ {
			t.Items = append(t.Items, &wire.Item{Body: &wire.Item_Endpoint{Endpoint: &wire.Endpoint{
				Name: fmt.Sprintf("runner-%04d", j), Address: fmt.Sprintf("10.0.%d.%d:9000", j/250, j%250),
				FailureDomain: string(domain(j)), Wanted: &wire.Wanted{Model: fmt.Sprintf("model-%d", j%10), Version: "1"},
			}}})
		}
		if err := putTicket(ctx, s, t); err != nil {
			return err
		}
	}
	for i := int(f.lastTicket); i < c.Tickets; i++ {
		if err := putTicket(ctx, s, f.nextTicket(f.teamItem(i))); err != nil {
			return err
		}
	}
	return nil
}

func putTicket(ctx context.Context, s core.Store, t *wire.Ticket) error {
	b, err := state.EncodeTicket(t)
	if err != nil {
		return err
	}
	_, err = s.Put(ctx, state.TicketKey(core.TicketNumber(t.GetNumber())), b, 0)
	return err
}

// acceptTicket writes a ticket through one instance, as its operator API would, and returns the ticket's number and the
// time at which it was accepted.
func (f *fleet) acceptTicket(ctx context.Context, n *instance) (core.TicketNumber, time.Time, error) {
	t := f.nextTicket(f.teamItem(int(f.lastTicket)))
	f.tracker.expect(core.TicketNumber(t.GetNumber()), len(f.liveInstances()))
	if err := putTicket(ctx, n.store, t); err != nil {
		return 0, time.Time{}, err
	}
	at := time.Now()
	return core.TicketNumber(t.GetNumber()), at, n.ApplyAccepted(t)
}
