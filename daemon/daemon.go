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
	core.Shared

	cfg     *conf.Settings
	members *member.Member
	store   *store.Store
	state   *state.State
	relay   *relay.Relay
	meter   *meter.Meter
	host    *host.Host
	action  *action.Action
	entry   *entry.Entry
	oper    *oper.Oper

	listeners [listenerCount]net.Listener
	servers   [listenerCount]*http.Server
	leaving   atomic.Bool
	// changed wakes ownPools after a new configuration.
	changed chan struct{}
	killed  atomic.Bool
	// life ends with Kill.
	life   context.Context
	cancel context.CancelFunc
}

// Listeners of an instance.
const (
	clientListener = iota
	peerListener
	operatorListener
	listenerCount
)

// Option changes an Daemon while it is made.
type Option func(*options)

type options struct {
	newPolicy func() core.Policy
}

// WithPolicy replaces the policy of the pools.
func WithPolicy(fn func() core.Policy) Option { return func(o *options) { o.newPolicy = fn } }

// Run serves until ctx ends, then shuts down gracefully.
func Run(ctx context.Context, cfg *conf.Settings, logs io.Writer) error {
	a, err := New(cfg, NewLog(cfg, logs))
	if err != nil {
		return err
	}
	return a.Run(ctx)
}

// NewLog returns the log of an instance: one key=value line per event.
func NewLog(cfg *conf.Settings, w io.Writer) *logrus.Entry {
	l := logrus.New()
	l.SetOutput(w)
	l.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano})
	if level, err := logrus.ParseLevel(cfg.GetLogLevel()); err == nil {
		l.SetLevel(level)
	}
	return l.WithField("instance", cfg.GetInstance())
}

// New makes an instance and opens its listeners.
func New(cfg *conf.Settings, log *logrus.Entry, opts ...Option) (*Daemon, error) {
	a := &Daemon{Shared: core.NewShared(log), cfg: cfg, meter: meter.New(), state: state.New(), changed: make(chan struct{}, 1)}
	if err := a.listen(); err != nil {
		return nil, err
	}
	a.life, a.cancel = context.WithCancel(context.Background())
	o := options{newPolicy: func() core.Policy {
		return queue.New(
			queue.WithTeamSharePercent(cfg.GetTeamSharePercent()),
			queue.WithAdmit(
				admit.WithHeadroomPercent(cfg.GetMemoryHeadroomPercent()),
				admit.WithSlackPercent(cfg.GetAffinitySlackPercent()),
			),
		)
	}}
	for _, opt := range opts {
		opt(&o)
	}
	a.build(&o)
	return a, nil
}

func (a *Daemon) listen() error {
	addrs := [listenerCount]string{a.cfg.GetClientAddress(), a.cfg.GetPeerAddress(), a.cfg.GetOperatorAddress()}
	names := [listenerCount]string{"client_address", "peer_address", "operator_address"}
	for i, addr := range addrs {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			a.closeListeners()
			return &core.Error{
				Kind: core.KindBadRequest, Message: fmt.Sprintf("setting %q: cannot listen on %s", names[i], addr),
				Remedy: "free the port or choose another one", Run: core.RunNot, Cause: err,
			}
		}
		a.listeners[i] = l
	}
	return nil
}

func (a *Daemon) closeListeners() {
	for _, l := range a.listeners {
		if l != nil {
			_ = l.Close() // nothing was served on it
		}
	}
}

// build makes the parts; the order follows their dependencies.
func (a *Daemon) build(o *options) {
	cfg := a.cfg
	self := core.Peer{
		ID: core.InstanceID(cfg.GetInstance()), Address: a.PeerAddress(),
		FailureDomain: core.FailureDomain(cfg.GetFailureDomain()),
	}
	a.members = member.New(self, ms(cfg.GetSuspectMs()))
	a.store = store.New(a.Shared, cfg, link.New(cfg))
	a.relay = relay.New(a.Shared, cfg, a.members, a.state, a.store, roster.New(cfg))
	a.host = host.New(a.Shared, cfg, a.relay, a.members, o.newPolicy, host.WithCounters(a.meter),
		host.WithSlots(weight.New(a.Shared, a.store, self.ID, weight.WithCounters(a.meter),
			weight.WithSlots(int(cfg.GetWeightSlots())), weight.WithLease(ms(cfg.GetWeightLeaseMs())))))
	a.state.Subscribe(a.configure)
	retries := budget.New(budget.WithPercent(cfg.GetRetryBudgetPercent()))
	a.action = action.New(a.Shared, a.store, a.relay,
		action.WithInstance(self.ID), action.WithSettings(cfg), action.WithRetryBudget(retries),
		action.WithRetention(a.members, ms(cfg.GetActionRetentionMs())),
		action.WithClient(link.New(cfg).EndpointClient()),
		action.WithEndpointUsable(func(_ core.EndpointID, address string) bool { return !a.members.EndpointLeaving(address) }))
	calls := peer.New(link.New(cfg).PeerClient(), cfg.GetMaxBodyBytes())
	a.entry = entry.New(entry.Parts{
		Shared: a.Shared, Settings: cfg, Config: a.relay, Members: a.members, Host: a.host, Shard: a.host.Shard,
		Peer: calls, Services: a.action, Meter: a.meter, Budget: retries,
	})
	a.oper = oper.New(a.Shared, cfg, a.store, a.state,
		oper.WithAccepted(a.accepted), oper.WithFleet(newFleet(a)), oper.WithLoad(newInspector(a).addLoad))
	a.publish()
	a.serve(calls)
}

func (a *Daemon) configure(cfg *core.Config) {
	a.host.Configure(cfg)
	select {
	case a.changed <- struct{}{}:
	default: // a wake-up is already due
	}
}

func (a *Daemon) accepted(t *wire.Ticket) {
	if err := a.relay.Learn(t); err != nil {
		a.Log.WithField("ticket", t.GetNumber()).WithError(err).Warn("accepted ticket waits for the tickets before it")
	}
}

func (a *Daemon) publish() {
	a.meter.Publish("store_calls", func() any { return a.store.Counts() })
	a.meter.Publish("control_bytes", func() any {
		sent, received := a.relay.Bytes()
		return map[string]int64{"sent": sent, "received": received}
	})
	a.meter.Publish("pools", func() any {
		out := map[core.PoolID]core.PoolLoad{}
		for id, p := range a.host.Pools() {
			out[id] = p.Load()
		}
		return out
	})
	a.meter.Publish("orders", func() any {
		out := map[core.EndpointID]order.State{}
		for _, p := range a.host.Pools() {
			for id, s := range p.Orders() {
				out[id] = s
			}
		}
		return out
	})
	a.meter.Publish("ticket", func() any { return a.state.Number() })
}

// serve makes the servers of the three listeners.
func (a *Daemon) serve(calls *peer.Peer) {
	l := link.New(a.cfg)
	peers := http.NewServeMux()
	peers.Handle(wire.PeerPathPrefix, a.relay.Handler())
	peers.Handle(wire.InspectPathPrefix, wire.NewInspectServer(newInspector(a)))
	calls.Register(peers, a.host)

	operators := http.NewServeMux()
	operators.Handle(wire.OperatorPathPrefix, a.oper.Handler())
	operators.Handle("GET /debug/vars", a.meter)
	a.addHealth(operators)

	clients := http.NewServeMux()
	clients.Handle("/", a.entry)
	a.addHealth(clients)

	a.servers = [listenerCount]*http.Server{l.Server(clients), l.Server(peers), l.Server(operators)}
}

// ClientAddress returns the address of the clients' listener.
func (a *Daemon) ClientAddress() string { return a.listeners[clientListener].Addr().String() }

// PeerAddress returns the address of the listener for other instances.
func (a *Daemon) PeerAddress() string { return a.listeners[peerListener].Addr().String() }

// OperatorAddress returns the address of the operators' listener.
func (a *Daemon) OperatorAddress() string { return a.listeners[operatorListener].Addr().String() }

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// Run serves until ctx ends, then shuts down gracefully.
func (a *Daemon) Run(ctx context.Context) error {
	a.Log.WithFields(logrus.Fields{
		"client_address": a.ClientAddress(), "peer_address": a.PeerAddress(), "operator_address": a.OperatorAddress(),
		"failure_domain": a.cfg.GetFailureDomain(),
	}).Info("instance starts")
	var g errgroup.Group
	for i, s := range a.servers {
		g.Go(func() error {
			if err := s.Serve(a.listeners[i]); !errors.Is(err, http.ErrServerClosed) {
				return fmt.Errorf("serve %s: %w", a.listeners[i].Addr(), err)
			}
			return nil
		})
	}
	a.relay.Start()
	own, stopOwning := context.WithCancel(ctx)
	g.Go(func() error { return a.ownPools(own) })
	select {
	case <-ctx.Done():
	case <-a.life.Done():
	}
	stopOwning()
	a.stop()
	err := g.Wait()
	a.Log.Info("instance stopped")
	return err
}

// ownInterval is how soon an instance opens a pool that it has come to own.
const ownInterval = 500 * time.Millisecond

func (a *Daemon) ownPools(ctx context.Context) error {
	select {
	case <-a.relay.Ready():
	case <-ctx.Done():
		return nil
	}
	a.Log.WithField("ticket", a.state.Number()).Info("instance is ready")
	t := time.NewTicker(ownInterval)
	defer t.Stop()
	for {
		a.host.Own(a.Clock.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-a.changed:
		case <-t.C:
		}
	}
}
