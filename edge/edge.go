package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"snipeshed/conf"
	"snipeshed/core"
	"snipeshed/core/allow"
	"snipeshed/core/expect"
	"snipeshed/core/fleet"
	"snipeshed/core/place"
	"snipeshed/core/tally"
	"snipeshed/io/dial"
	"snipeshed/io/drain"
	"snipeshed/io/event"
	"snipeshed/io/gate"
	"snipeshed/io/news"
	"snipeshed/io/probe"
	"snipeshed/io/pulse"
	"snipeshed/io/watch"
	"snipeshed/platform"
	"snipeshed/wire"
)

const (
	// memoryShare is the part of the machine's memory that the Go runtime stays under.
	memoryShare = 0.75
	// bodyShare is the part of the memory that bodies of open calls may take.
	bodyShare = 0.2
	// watchers is the number of instances that read the store for all.
	watchers = 2
	// noticeTime is how long a stopping instance still takes calls: the balancer asks each second and needs two misses.
	noticeTime = 2500 * time.Millisecond
	// stopMargin is kept at the end of the stop timeout to close connections.
	stopMargin = 400 * time.Millisecond
	// callerIdle is longer than callers keep idle connections.
	callerIdle      = 75 * time.Second
	headerTimeout   = 5 * time.Second
	maxHeaderBytes  = 32 << 10
	fetchSpread     = time.Millisecond // per instance
	fetchTimeout    = 1500 * time.Millisecond
	registerTimeout = 2 * time.Second
	registerBackoff = 500 * time.Millisecond
	outageInterval  = 100 * time.Millisecond
	maxInstances    = 100_000
)

// Edge is one entry instance.
type Edge struct {
	cfg   *conf.EdgeSettings
	self  core.Peer
	log   *event.Log
	store *platform.Store
	mover *platform.Mover
	news  *news.News
	pulse *pulse.Pulse
	watch *watch.Watch
	probe *probe.Probe
	gate  *gate.Gate
	dial  *dial.Dial
	tally *tally.Tally
	fleet *fleet.Fleet

	callers  *drain.Drain
	servers  []*http.Server
	stopping atomic.Bool
	fetching atomic.Bool
	ctx      context.Context
	cancel   context.CancelFunc
	group    sync.WaitGroup
}

// New binds all listeners and starts the instance; out receives the log.
func New(cfg *conf.EdgeSettings, out io.Writer) (*Edge, error) {
	debug.SetMemoryLimit(int64(memoryShare * float64(cfg.GetMemoryMb()<<20)))
	level, err := logrus.ParseLevel(cfg.GetLogLevel())
	if err != nil {
		return nil, err
	}
	e := &Edge{
		cfg: cfg,
		self: core.Peer{
			ID: core.InstanceID(cfg.GetInstance()), Address: cfg.GetPeerAddress(),
			FailureDomain: core.FailureDomain(cfg.GetFailureDomain()),
		},
		log: event.New(out, core.InstanceID(cfg.GetInstance()), level), store: platform.NewStore(cfg.GetStoreAddress()),
		mover: platform.NewMover(), dial: dial.New(platform.Codec{}), tally: tally.New(),
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.build()
	if err := e.listen(); err != nil {
		return nil, errors.Join(err, e.closeServers())
	}
	e.start()
	return e, nil
}

// build connects the parts.
func (e *Edge) build() {
	e.fleet = fleet.New(func(id core.EndpointID) { e.gate.Leaving(id) })
	e.news = news.New(platform.Decoder{}, e.fleet, e.log, func() { e.pulse.Wake() })
	e.watch = watch.New(e.store, watch.Kinds{
		Rules: platform.KindRules, MainRules: platform.MainRules, Endpoints: platform.KindEndpoints,
	}, e.news, e.log, watch.Turns{
		Watches: func(down, up bool) bool { return !e.stopping.Load() && e.pulse.Watches(watchers, down, up) },
		Outage:  func(down, up bool) bool { return e.pulse.Outage(down, up) }, Instances: func() int { return e.pulse.Instances() },
	})
	window := time.Duration(e.cfg.GetRetryWindowS() * float64(time.Second))
	e.gate = gate.New(gate.Parts{
		Codec: platform.Codec{}, Mover: e.mover, News: e.news, Fleet: e.fleet, Tally: e.tally,
		Place: place.New(e.self.FailureDomain, e.tally),
		Allow: allow.New(e.cfg.GetRetryRatio(), e.cfg.GetRetrySlack(), window),
		Dial:  e.dial, Expect: expect.New(), Log: e.log, Meter: gate.NewMeter(), Instances: func() int { return e.pulse.Instances() },
		Tell: func() { e.pulse.Wake() },
	}, int64(bodyShare*float64(e.cfg.GetMemoryMb()<<20)))
	e.gate.Meter.Gauge(e.gauges)
}

func (e *Edge) gauges(add func(string, int64)) {
	rules, endpoints := e.news.Versions()
	add("rules_version", int64(rules))
	add("endpoints_revision", int64(endpoints))
	add("instances", int64(e.pulse.Instances()))
	add("connections_opened_total", e.dial.Opened())
	for id, u := range e.tally.Own(time.Now()) {
		add(fmt.Sprintf("calls_in_flight{endpoint=%q}", id), int64(u.Calls))
		add(fmt.Sprintf("memory_forecast_tokens{endpoint=%q}", id), int64(u.Tokens))
	}
}

// listen binds the sockets of callers, balancer, other instances and metrics.
func (e *Edge) listen() error {
	p, err := pulse.New(e.self, e.tally, e.log, pulse.Hooks{
		State: e.state, Leaving: e.fleet.Hint, Refusing: e.gate.Refused, Newer: e.catchUp,
	})
	if err != nil {
		return err
	}
	e.pulse = p
	e.callers = drain.New(&http.Server{
		Handler: e.gate, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdle, MaxHeaderBytes: maxHeaderBytes,
	})
	ln, err := net.Listen("tcp", e.cfg.GetClientAddress())
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	e.group.Go(func() { _ = e.callers.Serve(ln) }) // ends with Close or Shutdown
	if err := e.serve(e.cfg.GetPeerAddress(), wire.NewSyncServer(syncServer{e})); err != nil {
		return err
	}
	if e.cfg.GetMetricsAddress() != "" {
		mux := http.NewServeMux()
		mux.Handle("/metrics", e.gate.Meter)
		if err := e.serve(e.cfg.GetMetricsAddress(), mux); err != nil {
			return err
		}
	}
	return e.serve(e.cfg.GetReadyAddress(), http.HandlerFunc(e.ready))
}

func (e *Edge) serve(address string, h http.Handler) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdle}
	e.servers = append(e.servers, s)
	e.group.Go(func() { _ = s.Serve(ln) }) // ends with Close
	return nil
}

// ready answers the balancer.
func (e *Edge) ready(w http.ResponseWriter, _ *http.Request) {
	if e.stopping.Load() || !e.news.Known() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (e *Edge) start() {
	for i, seed := range e.cfg.GetSeeds() {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			_, port, _ := net.SplitHostPort(e.self.Address) // checked when it was bound
			e.pulse.Add(core.Peer{ID: core.InstanceID(fmt.Sprintf("seed-%d", i)), Address: net.JoinHostPort(host, port)})
		}
	}
	e.pulse.Start()
	e.watch.Start()
	e.probe = probe.New(e.mover, e.fleet, e.log, func(ep core.Endpoint) bool {
		t := e.news.Table()
		return t != nil && t.Services[ep.Service].Engine != nil &&
			e.pulse.Outage(e.watch.Down(), e.watch.Up()) && e.pulse.First(string(ep.ID))
	}, func(id core.EndpointID) { e.gate.Unreachable(id, true) }, e.pulse.Wake)
	e.group.Go(e.register)
	e.group.Go(e.watchOutage)
	e.log.Emit(event.Started, event.Fields{
		"callers": e.cfg.GetClientAddress(), "peers": e.self.Address, "store": e.cfg.GetStoreAddress(), "domain": e.self.FailureDomain,
	})
}

// watchOutage tells the fleet while the store is down and lets entries that lapsed meanwhile expire.
func (e *Edge) watchOutage() {
	t := time.NewTicker(outageInterval)
	defer t.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case now := <-t.C:
			if e.watch.Down() || e.pulse.Outage(e.watch.Down(), e.watch.Up()) {
				e.fleet.Outage(now)
			}
			e.fleet.Expire(now)
		}
	}
}

// state is what the other instances are told.
func (e *Edge) state(now time.Time) pulse.State {
	rules, endpoints := e.news.Versions()
	return pulse.State{
		Rules: rules, Endpoints: endpoints, StoreDown: e.watch.Down(), StoreUp: e.watch.Up(), Stopping: e.stopping.Load(),
		Leaving: e.fleet.Leaving(now, leavingSpan), Refusing: e.gate.Refusing(now),
	}
}

// leavingSpan is how long endpoints that began to leave are named to other instances.
const leavingSpan = 3 * time.Second

// catchUp fetches what another instance knows and this one does not; one fetch is under way at a time.
func (e *Edge) catchUp() {
	rules, endpoints := e.news.Versions()
	ahead := e.pulse.Ahead(rules, endpoints)
	if len(ahead) == 0 || !e.fetching.CompareAndSwap(false, true) {
		return
	}
	from := ahead[rand.IntN(len(ahead))]
	e.group.Go(func() {
		defer e.fetching.Store(false)
		if !e.spread() {
			return
		}
		ctx, cancel := context.WithTimeout(e.ctx, fetchTimeout)
		defer cancel()
		c := wire.NewSyncProtobufClient("http://"+from.Address, peerClient)
		known := &wire.Known{Rules: uint64(rules), Endpoints: uint64(endpoints)}
		got, err := c.Fetch(ctx, known)
		if err != nil {
			e.log.Emit(event.PeerLost, event.Fields{"peer": from.ID, "while": "fetching", "error": err})
			e.watch.Refresh()
			return
		}
		for _, m := range got.GetMembers() {
			e.pulse.Add(core.Peer{ID: core.InstanceID(m.GetId()), Address: m.GetAddress(), FailureDomain: core.FailureDomain(m.GetDomain())})
		}
		e.news.Take(from.ID, known, got)
	})
}

// spread waits a random time that grows with the fleet, so that not all instances ask the same ones at once.
func (e *Edge) spread() bool {
	select {
	case <-e.ctx.Done():
		return false
	case <-time.After(rand.N(time.Duration(e.pulse.Instances())*fetchSpread + 1)):
		return true
	}
}

var peerClient = &http.Client{Transport: &http.Transport{
	IdleConnTimeout: 2 * time.Second, MaxIdleConnsPerHost: 1, ReadBufferSize: 4 << 10, WriteBufferSize: 1 << 10,
}}

// syncServer answers other instances.
type syncServer struct{ e *Edge }

// Fetch gives another instance what it lacks.
func (s syncServer) Fetch(ctx context.Context, known *wire.Known) (*wire.News, error) {
	out, err := s.e.news.Fetch(ctx, known)
	if err != nil {
		return nil, err
	}
	for _, m := range s.e.pulse.Members() {
		out.Members = append(out.Members, &wire.Member{Id: string(m.ID), Address: m.Address, Domain: string(m.FailureDomain)})
	}
	return out, nil
}

// Introduce makes another instance known before it is heard of or found in the store.
func (e *Edge) Introduce(id, address string) {
	e.pulse.Add(core.Peer{ID: core.InstanceID(id), Address: address})
}

// record is what the store holds of an instance.
type record struct {
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
}

// register reads the instances that the store knows and adds this one.
func (e *Edge) register() {
	for e.ctx.Err() == nil {
		if err := e.registerOnce(); err == nil {
			return
		} else if e.ctx.Err() == nil {
			e.log.Emit(event.StoreLost, event.Fields{"while": "registering", "error": err})
		}
		select {
		case <-e.ctx.Done():
		case <-time.After(registerBackoff + rand.N(registerBackoff)):
		}
	}
}

func (e *Edge) registerOnce() error {
	ctx, cancel := context.WithTimeout(e.ctx, registerTimeout)
	defer cancel()
	list, _, err := e.store.ListStale(ctx, platform.KindInstances, "", maxInstances)
	if err != nil && !errors.Is(err, core.ErrNotFound) {
		return err
	}
	key := platform.KindInstances + "/" + string(e.self.ID)
	var own core.Object
	for _, o := range list {
		if o.Key == key {
			own = o
		}
		e.addRecord(o)
	}
	value, err := json.Marshal(record{Address: e.self.Address, FailureDomain: string(e.self.FailureDomain)})
	if err != nil {
		return err
	}
	if string(own.Value) == string(value) {
		return nil
	}
	_, err = e.store.Put(ctx, key, value, own.Version)
	if errors.Is(err, core.ErrVersion) {
		if own, err = e.store.Get(ctx, key); err == nil && string(own.Value) != string(value) {
			_, err = e.store.Put(ctx, key, value, own.Version)
		}
	}
	return err
}

func (e *Edge) addRecord(o core.Object) {
	var r record
	if err := json.Unmarshal(o.Value, &r); err != nil {
		e.log.Emit(event.PeerLost, event.Fields{"peer": o.Key, "while": "reading its record", "error": err})
		return
	}
	id := core.InstanceID(o.Key[len(platform.KindInstances)+1:])
	e.pulse.Add(core.Peer{ID: id, Address: r.Address, FailureDomain: core.FailureDomain(r.FailureDomain)})
}

// Stop shuts the instance down: it stops being ready, still takes calls until the balancer has noticed, answers all
// open calls, and cuts what is left when the stop timeout ends.
func (e *Edge) Stop() {
	timeout := time.Duration(e.cfg.GetStopTimeoutS()*float64(time.Second)) - stopMargin
	begun := time.Now()
	e.stopping.Store(true)
	e.gate.Stop(begun.Add(timeout))
	e.callers.Retire()
	e.pulse.Wake()
	e.log.Emit(event.Stopping, event.Fields{"open": e.gate.Meter.Open.Load(), "timeout_ms": timeout.Milliseconds()})
	time.Sleep(min(noticeTime, timeout/2))
	ctx, cancel := context.WithTimeout(e.ctx, timeout-time.Since(begun))
	defer cancel()
	if err := e.callers.Shutdown(ctx); err != nil {
		e.log.Emit(event.Cut, event.Fields{"open": e.gate.Meter.Open.Load(), "error": "the stop timeout has passed"})
	}
	e.Close()
	e.log.Emit(event.Stopped, event.Fields{"after_ms": time.Since(begun).Milliseconds()})
	e.log.Close()
}

// Close ends everything at once and waits for it.
func (e *Edge) Close() {
	e.cancel()
	_ = e.callers.Close()
	_ = e.closeServers()
	e.probe.Close()
	e.watch.Close()
	e.pulse.Close()
	e.dial.Close()
	e.mover.Close()
	e.store.Close()
	e.group.Wait()
}

func (e *Edge) closeServers() error {
	var errs []error
	for _, s := range e.servers {
		errs = append(errs, s.Close())
	}
	return errors.Join(errs...)
}

// Reload notes that the settings file was told to have changed; addresses stay as they are until the next start.
func (e *Edge) Reload(cfg *conf.EdgeSettings, err error) {
	fields := event.Fields{"error": err}
	if err == nil {
		fields["instance_name"] = cfg.GetInstance()
	}
	e.log.Emit(event.Reloaded, fields)
}
