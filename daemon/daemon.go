package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"snipeshed/conf"
	"snipeshed/core"
	"snipeshed/core/admit"
	"snipeshed/core/budget"
	"snipeshed/core/member"
	"snipeshed/core/order"
	"snipeshed/core/queue"
	"snipeshed/core/state"
	"snipeshed/io/action"
	"snipeshed/io/drain"
	"snipeshed/io/entry"
	"snipeshed/io/host"
	"snipeshed/io/link"
	"snipeshed/io/meter"
	"snipeshed/io/oper"
	"snipeshed/io/peer"
	"snipeshed/io/relay"
	"snipeshed/io/roster"
	"snipeshed/io/store"
	"snipeshed/io/weight"
	"snipeshed/wire"
)

// Daemon is one instance.
type Daemon struct {
	core.Common

	cfg      *conf.Settings
	members  *member.Membership
	store    *store.Store
	state    *state.State
	gossiper *relay.Gossiper
	meter    *meter.Meter
	host     *host.Host
	action   *action.Action
	entry    *entry.Entry
	oper     *oper.Server

	listeners [listenerCount]net.Listener
	servers   [listenerCount]server
	clients   *drain.Server
	leaving   atomic.Bool
	// configChanged signals a change of the configuration to openOwnedPools.
	configChanged chan struct{}
	killed        atomic.Bool
	// killCtx is canceled by Kill.
	killCtx       context.Context
	cancelKillCtx context.CancelFunc
}

// server has the common methods of *http.Server, *link.Server and *drain.Server that Daemon uses.
type server interface {
	Serve(ln net.Listener) error
	Shutdown(ctx context.Context) error
	Close() error
}

// Indices of the listeners and servers of an instance.
const (
	clientListener = iota
	peerListener
	operatorListener
	listenerCount
)

// Option configures a Daemon.
type Option func(*options)

type options struct {
	newPolicy func() core.Policy
	state     []state.Option
}

// WithPolicy sets the function that creates the policy of each pool.
func WithPolicy(fn func() core.Policy) Option { return func(o *options) { o.newPolicy = fn } }

// WithStateOptions passes options to the state, for tests with instances of two versions.
func WithStateOptions(opts ...state.Option) Option { return func(o *options) { o.state = opts } }

// Run serves until ctx ends, then shuts down gracefully.
func Run(ctx context.Context, cfg *conf.Settings, logs io.Writer) error {
	d, err := New(cfg, NewLog(cfg, logs))
	if err != nil {
		return err
	}
	return d.Run(ctx)
}

// NewLog returns the logger of an instance, which writes one key=value line per event.
func NewLog(cfg *conf.Settings, w io.Writer) *logrus.Entry {
	l := logrus.New()
	l.SetOutput(w)
	l.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano})
	if level, err := logrus.ParseLevel(cfg.GetLogLevel()); err == nil {
		l.SetLevel(level)
	}
	return l.WithField("instance", cfg.GetInstance())
}

// New creates an instance and opens its listeners.
func New(cfg *conf.Settings, log *logrus.Entry, opts ...Option) (*Daemon, error) {
	d := &Daemon{Common: core.NewCommon(log), cfg: cfg, meter: meter.New(), configChanged: make(chan struct{}, 1)}
	if err := d.listen(); err != nil {
		return nil, err
	}
	d.killCtx, d.cancelKillCtx = context.WithCancel(context.Background())
	o := options{newPolicy: func() core.Policy {
		return queue.New(
			queue.WithTeamSharePercent(cfg.GetTeamSharePercent()),
			queue.WithAdmitOptions(
				admit.WithHeadroomPercent(cfg.GetMemoryHeadroomPercent()),
				admit.WithSlackPercent(cfg.GetAffinitySlackPercent()),
			),
		)
	}}
	for _, opt := range opts {
		opt(&o)
	}
	d.state = state.New(o.state...)
	d.buildComponents(&o)
	return d, nil
}

func (d *Daemon) listen() error {
	addrs := [listenerCount]string{d.cfg.GetClientAddress(), d.cfg.GetPeerAddress(), d.cfg.GetOperatorAddress()}
	names := [listenerCount]string{"client_address", "peer_address", "operator_address"}
	for i, addr := range addrs {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			d.closeListeners()
			return &core.Error{
				Kind: core.KindBadRequest, Message: fmt.Sprintf("setting %q: cannot listen on %s", names[i], addr),
				Remedy: "free the port or choose another one", Execution: core.NotExecuted, Cause: err,
			}
		}
		d.listeners[i] = l
	}
	return nil
}

func (d *Daemon) closeListeners() {
	for _, l := range d.listeners {
		if l != nil {
			_ = l.Close() // it has served no connection
		}
	}
}

// buildComponents creates the components in the order of their dependencies.
func (d *Daemon) buildComponents(o *options) {
	cfg := d.cfg
	self := core.Peer{
		ID: core.InstanceID(cfg.GetInstance()), Address: d.PeerAddress(),
		FailureDomain: core.FailureDomain(cfg.GetFailureDomain()),
	}
	d.members = member.New(self, ms(cfg.GetSuspectMs()))
	d.store = store.New(d.Common, cfg, link.New(cfg))
	d.gossiper = relay.New(d.Common, cfg, d.members, d.state, d.store, roster.New(cfg))
	d.host = host.New(d.Common, cfg, d.gossiper, d.members, o.newPolicy, host.WithCounters(d.meter),
		host.WithLoadSlots(weight.New(d.Common, d.store, self.ID, weight.WithCounters(d.meter),
			weight.WithSlots(int(cfg.GetWeightSlots())), weight.WithLease(ms(cfg.GetWeightLeaseMs())))))
	d.state.Subscribe(d.onConfigChange)
	retries := budget.New(budget.WithPercent(cfg.GetRetryBudgetPercent()))
	d.action = action.New(d.Common, d.store, d.gossiper,
		action.WithInstance(self.ID), action.WithSettings(cfg), action.WithRetryBudget(retries),
		action.WithRetention(d.members, ms(cfg.GetActionRetentionMs())),
		action.WithClient(link.New(cfg).ApplicationClient()),
		action.WithEndpointUsable(func(_ core.EndpointID, address string) bool { return !d.members.EndpointLeaving(address) }))
	calls := peer.New(link.New(cfg).PeerClient(), cfg.GetMaxBodyBytes())
	d.entry = entry.New(entry.Deps{
		Common: d.Common, Settings: cfg, Config: d.gossiper, Members: d.members, Host: d.host, Partition: d.host.Partition,
		Peer: calls, Services: d.action, Meter: d.meter, Budget: retries,
	})
	d.oper = oper.New(d.Common, cfg, d.store, d.state,
		oper.WithAccepted(d.onTicketAccepted), oper.WithFleet(newFleetClient(d)), oper.WithPoolStatus(newInspector(d).addPoolStatus))
	d.publishVars()
	d.buildServers(calls)
}

// onConfigChange applies a new configuration to the open pools and signals it to openOwnedPools.
func (d *Daemon) onConfigChange(cfg *core.Config) {
	d.host.Configure(cfg)
	select {
	case d.configChanged <- struct{}{}:
	default: // a signal is already pending
	}
}

// onTicketAccepted passes a ticket that this instance accepted to the gossiper, which sends it to other instances.
func (d *Daemon) onTicketAccepted(t *wire.Ticket) {
	if err := d.gossiper.ApplyAccepted(t); err != nil {
		d.Log.WithField("ticket", t.GetNumber()).WithError(err).Warn("accepted ticket could not be applied")
	}
}

// publishVars registers the variables that GET /debug/vars shows.
func (d *Daemon) publishVars() {
	d.meter.Publish("store_calls", func() any { return d.store.Counts() })
	d.meter.Publish("control_bytes", func() any {
		sent, received := d.gossiper.Bytes()
		return map[string]int64{"sent": sent, "received": received}
	})
	d.meter.Publish("pools", func() any {
		out := map[core.PoolID]core.PoolLoad{}
		for id, p := range d.host.Pools() {
			out[id] = p.Load()
		}
		return out
	})
	d.meter.Publish("orders", func() any {
		out := map[core.EndpointID]order.State{}
		for _, p := range d.host.Pools() {
			for id, s := range p.OrderStates() {
				out[id] = s
			}
		}
		return out
	})
	d.meter.Publish("open", func() any {
		requests, bytes := d.entry.OpenRequests()
		return map[string]int64{"requests": requests, "body_bytes": bytes, "prompt_bytes_of_pools": d.host.PromptBytes()}
	})
	d.meter.Publish("ticket", func() any { return d.state.Number() })
}

// buildServers creates the servers of the three listeners.
func (d *Daemon) buildServers(calls *peer.Peer) {
	l := link.New(d.cfg)
	peers := http.NewServeMux()
	peers.Handle(wire.PeerPathPrefix, d.gossiper.Handler())
	peers.Handle(wire.InspectPathPrefix, wire.NewInspectServer(newInspector(d)))
	calls.Register(peers, d.host)

	operators := http.NewServeMux()
	operators.Handle(wire.OperatorPathPrefix, d.oper.Handler())
	operators.Handle("GET /debug/vars", d.meter)
	d.addHealth(operators)

	clients := http.NewServeMux()
	clients.Handle("/", d.entry)
	d.addHealth(clients)

	d.clients = drain.New(l.Server(clients))
	d.servers = [listenerCount]server{d.clients, l.PeerServer(peers), l.Server(operators)}
}

// ClientAddress returns the address of the clients' listener.
func (d *Daemon) ClientAddress() string { return d.listeners[clientListener].Addr().String() }

// PeerAddress returns the address of the listener for other instances.
func (d *Daemon) PeerAddress() string { return d.listeners[peerListener].Addr().String() }

// OperatorAddress returns the address of the operators' listener.
func (d *Daemon) OperatorAddress() string { return d.listeners[operatorListener].Addr().String() }

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// Run serves until ctx ends, then shuts down gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	d.Log.WithFields(logrus.Fields{
		"client_address": d.ClientAddress(), "peer_address": d.PeerAddress(), "operator_address": d.OperatorAddress(),
		"failure_domain": d.cfg.GetFailureDomain(),
	}).Info("instance starts")
	var g errgroup.Group
	for i, s := range d.servers {
		g.Go(func() error {
			if err := s.Serve(d.listeners[i]); !errors.Is(err, http.ErrServerClosed) {
				return fmt.Errorf("serve %s: %w", d.listeners[i].Addr(), err)
			}
			return nil
		})
	}
	d.gossiper.Start()
	backgroundCtx, stopBackground := context.WithCancel(ctx)
	g.Go(func() error {
		d.Supervise(backgroundCtx, "opening pools", func() { d.openOwnedPools(backgroundCtx) })
		return nil
	})
	g.Go(func() error {
		d.drainWhenBlocked(backgroundCtx)
		return nil
	})
	select {
	case <-ctx.Done():
	case <-d.killCtx.Done():
	}
	stopBackground()
	d.stop()
	err := g.Wait()
	d.Log.Info("instance stopped")
	return err
}

// drainWhenBlocked refuses new and queued calls of the pools once this instance cannot apply an accepted ticket. The instances
// that received them from clients send them to other instances. Running calls continue.
func (d *Daemon) drainWhenBlocked(ctx context.Context) {
	select {
	case <-d.gossiper.Blocked():
		d.host.Drain()
	case <-ctx.Done():
	}
}

// openPoolsInterval is the longest time until an instance opens a pool after it has become the owner.
const openPoolsInterval = 500 * time.Millisecond

// openOwnedPools opens the pools that this instance owns, on each change of the configuration and at least every
// openPoolsInterval.
func (d *Daemon) openOwnedPools(ctx context.Context) {
	select {
	case <-d.gossiper.Ready():
	case <-ctx.Done():
		return
	}
	d.Log.WithField("ticket", d.state.Number()).Info("instance is ready")
	t := time.NewTicker(openPoolsInterval)
	defer t.Stop()
	for {
		d.host.OpenOwnedPools(d.Clock.Now())
		select {
		case <-ctx.Done():
			return
		case <-d.configChanged:
		case <-t.C:
		}
	}
}
