package edge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"snipeshed/conf"
	"snipeshed/core"
	"snipeshed/core/allow"
	"snipeshed/core/blame"
	"snipeshed/core/cold"
	"snipeshed/core/evac"
	"snipeshed/core/expect"
	"snipeshed/core/fleet"
	"snipeshed/core/place"
	"snipeshed/core/spent"
	"snipeshed/core/tally"
	"snipeshed/io/conns"
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
	// memoryLimitShare is the part of the instance's memory that is set as the limit of the Go runtime.
	memoryLimitShare = 0.75
	// codeMemory is what the program's code takes beside the memory that the Go runtime manages, in bytes.
	codeMemory = 16 << 20
	// bodyMemoryShare is the part of the instance's memory that the bodies of open calls may take.
	bodyMemoryShare = 0.2
	// reservedDescriptors are reserved for files. A call takes descriptorsPerCall: one connection on each side, and one more
	// while it is resumed.
	reservedDescriptors = 200
	descriptorsPerCall  = 3
	// callerConnShare is the part of the other descriptors that callers' connections may take. It is more than open calls need, as
	// callers keep idle connections.
	callerConnShare = 0.6
	// headMemoryShare is the part of the instance's memory that request heads may take.
	headMemoryShare = 0.0625
	// unreadyGrace is how long a stopping instance still accepts calls: the load balancer probes readiness every second and
	// removes an instance after two failures.
	unreadyGrace = 2500 * time.Millisecond
	// stopMargin is the part of the stop timeout that is reserved for closing connections.
	stopMargin = 400 * time.Millisecond
	// callerIdleTimeout is longer than callers keep idle connections, so that they close them first.
	callerIdleTimeout         = 75 * time.Second
	headerTimeout             = 5 * time.Second
	maxHeaderBytes            = 32 << 10
	fetchSpreadPerInstance    = time.Millisecond // maximum delay per live instance
	fetchTimeout              = 1500 * time.Millisecond
	registerTimeout           = 2 * time.Second
	registerBackoff           = 500 * time.Millisecond
	registerSpreadPerInstance = 10 * time.Millisecond  // maximum delay per live instance
	eraCheckInterval          = 500 * time.Millisecond // time between two checks of whether the store came back from a copy
	recheckInterval           = 700 * time.Millisecond // minimum delay before the list of instances is read again
	quarantineInterval        = 100 * time.Millisecond // time between two checks for requests to end
	outageInterval            = 100 * time.Millisecond // time between two checks for a store outage
	maxInstances              = 100_000                // entries read from the store
)

// Edge is one edge instance.
type Edge struct {
	cfg       *conf.EdgeSettings
	self      core.Peer
	log       *event.Log
	store     *platform.Store
	mover     *platform.Mover
	news      *news.News
	pulse     *pulse.Pulse
	watch     *watch.Watch
	probe     *probe.Prober
	gate      *gate.Gate
	dial      *dial.Client
	loads     *tally.LoadTable
	endpoints *fleet.Endpoints
	blame     *blame.Tracker
	evacuated *evac.Domains

	callerServer *drain.Server
	servers      []*http.Server
	started      time.Time
	stopping     atomic.Bool
	fetching     atomic.Bool
	fullFetches  atomic.Int32 // whole endpoint lists that are being sent
	ctx          context.Context
	cancel       context.CancelFunc
	group        sync.WaitGroup
}

// New returns a running instance with all listeners bound; out receives the log.
func New(cfg *conf.EdgeSettings, out io.Writer) (*Edge, error) {
	debug.SetMemoryLimit(memoryLimit(cfg.GetMemoryMb() << 20))
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
		dial: dial.New(platform.Codec{}), loads: tally.New(),
	}
	e.mover = platform.NewMover(platform.WithReplyObserver(func(ep core.Endpoint, r core.ReplyHeaders) { e.gate.ObserveReply(ep, r) }))
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.connectComponents()
	if err := e.listen(); err != nil {
		return nil, errors.Join(err, e.closeServers())
	}
	e.startComponents()
	return e, nil
}

// memoryLimit returns the limit of the Go runtime for an instance with the given memory.
func memoryLimit(memory int64) int64 {
	return max(min(int64(memoryLimitShare*float64(memory)), memory-codeMemory), memory/2)
}

// connectComponents creates the components and connects them.
func (e *Edge) connectComponents() {
	e.blame = blame.New(blame.WithTrials(func(part core.PromptPart) bool { return e.pulse.RanksFirst(string(part)) }))
	e.endpoints = fleet.New(func(id core.EndpointID) { e.gate.OnEndpointLeaving(id) },
		fleet.WithRestartHook(func(inc core.Incarnation) { e.gate.OnEndpointRestarted(inc) }))
	e.evacuated = evac.New(e.onEvacuated)
	e.news = news.New(platform.Decoder{}, e.endpoints, e.log, e.onNews)
	e.watch = watch.New(e.store, watch.Kinds{
		Config: platform.KindConfig, ConfigName: platform.ConfigName, Endpoints: platform.KindEndpoints, Evacuations: e.evacuationKind(),
	}, e.news, e.evacuated, e.log, watch.Role{
		IsReader:      func(own core.StoreAccess) bool { return !e.stopping.Load() && e.pulse.IsReader(own) },
		IsFirstReader: func() bool { return e.pulse.IsFirstReader() }, IsSeed: e.isSeed(),
		Outage: func(down, up bool) bool { return e.pulse.Outage(down, up) }, Instances: func() int { return e.pulse.Instances() },
		OnAccess: func() { e.pulse.Broadcast() }, OnEvacuations: func() { e.pulse.Broadcast() },
	})
	window := time.Duration(e.cfg.GetRetryWindowS() * float64(time.Second))
	e.gate = gate.New(gate.Deps{
		Codec: platform.Codec{}, Mover: e.mover, News: e.news, Endpoints: e.endpoints, Loads: e.loads,
		Selector: place.New(e.self.FailureDomain, e.loads, e.placeOptions()...),
		Retries:  allow.New(e.cfg.GetRetryRatio(), e.cfg.GetRetrySlack(), window),
		Cold: cold.New(e.cfg.GetColdExcess(), e.cfg.GetColdSlack(), func(id core.EndpointID, limit int) int {
			return e.pulse.Rank(string(id), limit)
		}),
		Client: e.dial, Lengths: expect.New(), Spent: spent.New(), Blame: e.blame, Log: e.log, Meter: gate.NewMeter(),
		Instances:   func() int { return e.pulse.Instances() },
		FleetSize:   func() int { return e.pulse.KnownPeers() + 1 },
		MayLoad:     func() bool { return !e.watch.Down() },
		NotifyPeers: func(d core.FailureDomain, allDomains bool) { e.pulse.SendLoadChanges(d, allDomains) },
		SyncPeers:   func() { e.pulse.Broadcast() },
	}, BodyMemory(e.cfg), (e.cfg.GetMaxDescriptors()-reservedDescriptors)/descriptorsPerCall)
	e.gate.Meter.AddGauges(e.gauges)
	e.gate.Meter.AddGauges(e.speedGauges)
}

// placeOptions returns the options of the choice of endpoints.
func (e *Edge) placeOptions() []place.Option {
	opts := []place.Option{place.WithInstances(func() int { return e.pulse.Instances() })}
	if e.cfg.GetLearnEndpointSpeed() {
		opts = append(opts, place.WithLearnedSpeed())
	}
	return opts
}

// BodyMemory returns the number of bytes that the request bodies of an instance with these settings may take.
func BodyMemory(cfg *conf.EdgeSettings) int64 {
	return int64(bodyMemoryShare * float64(cfg.GetMemoryMb()<<20))
}

// evacuationKind returns the kind of the evacuated failure domains in the store, or "" if this fleet does not follow them.
func (e *Edge) evacuationKind() string {
	if e.cfg.GetEvacuationTimeoutMs() == 0 {
		return ""
	}
	return platform.KindEvacuations
}

// onEvacuated applies a change of the evacuated failure domains.
func (e *Edge) onEvacuated(domains []core.FailureDomain) {
	e.endpoints.SetEvacuated(time.Now(), domains)
	e.log.Emit(event.Evacuated, event.Fields{"domains": domains})
}

func (e *Edge) gauges(add func(string, int64)) {
	config, endpoints := e.news.Versions()
	add("rules_version", int64(config))
	add("endpoints_revision", int64(endpoints.Number))
	add("store_era", int64(endpoints.Era)-1) // -1 if the store names none
	add("evacuated_domains", int64(len(e.evacuated.Get())))
	add("instances", int64(e.pulse.Instances()))
	add("connections_opened_total", e.dial.ConnsOpened())
	own, all := e.loads.WaitingCalls(time.Now())
	add("calls_waiting", int64(own))
	add("calls_waiting_everywhere", int64(all))
	for id, load := range e.loads.OwnLoads(time.Now()) {
		add(fmt.Sprintf("calls_in_flight{endpoint=%q}", id), int64(load.Calls))
		add(fmt.Sprintf("memory_forecast_tokens{endpoint=%q}", id), int64(load.Tokens))
	}
}

// listen binds the sockets for callers, other instances, metrics and the readiness probes of the load balancer.
func (e *Edge) listen() error {
	p, err := pulse.New(e.self, e.loads, e.log, pulse.Hooks{
		State: e.pulseState, OnLeaving: e.endpoints.ApplyPeerReport, OnRefusing: e.gate.OnRefusalReported, OnBlame: e.blame.Merge,
		OnEvacuated: e.evacuated.Merge,
		OnUpdate:    e.catchUp,
	})
	if err != nil {
		return err
	}
	e.pulse = p
	s := &http.Server{
		Handler: e.gate, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	e.callerServer = drain.New(s)
	limiter := e.newConnLimiter()
	limiter.Apply(s)
	ln, err := net.Listen("tcp", e.cfg.GetClientAddress())
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	e.group.Go(func() { _ = e.callerServer.Serve(limiter.Listen(ln)) }) // ends with Close or Shutdown
	if err := e.serveHTTP(e.cfg.GetPeerAddress(), compressed(wire.NewSyncServer(syncServer{e}))); err != nil {
		return err
	}
	if e.cfg.GetMetricsAddress() != "" {
		mux := http.NewServeMux()
		mux.Handle("/metrics", e.gate.Meter)
		if err := e.serveHTTP(e.cfg.GetMetricsAddress(), mux); err != nil {
			return err
		}
	}
	return e.serveHTTP(e.cfg.GetReadyAddress(), http.HandlerFunc(e.handleReady))
}

// newConnLimiter returns the limiter of the callers' connections.
func (e *Edge) newConnLimiter() *conns.Limiter {
	maxConns, maxHeads := e.cfg.GetMaxCallerConnections(), e.cfg.GetMaxHeadMemoryMb()<<20
	if maxConns == 0 {
		maxConns = int64(callerConnShare * float64(e.cfg.GetMaxDescriptors()-reservedDescriptors))
	}
	if maxHeads == 0 {
		maxHeads = int64(headMemoryShare * float64(e.cfg.GetMemoryMb()<<20))
	}
	limiter := conns.New(int(maxConns), maxHeads, conns.WithCloseHook(func(r conns.Reason) {
		e.gate.Meter.Count("caller_closed_" + string(r))
	}))
	e.gate.Meter.AddGauges(func(add func(string, int64)) { add("caller_connections", int64(limiter.Conns())) })
	return limiter
}

func (e *Edge) serveHTTP(address string, h http.Handler) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes}
	e.servers = append(e.servers, s)
	e.group.Go(func() { _ = s.Serve(ln) }) // ends with Close
	return nil
}

// handleReady answers the readiness probes of the load balancer.
func (e *Edge) handleReady(w http.ResponseWriter, _ *http.Request) {
	if e.stopping.Load() || !e.news.Loaded() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// seeds returns the peer addresses of the seeds: their hosts from the settings, with this instance's peer port.
func (e *Edge) seeds() []string {
	_, port, _ := net.SplitHostPort(e.self.Address) // validated when the settings were loaded
	var out []string
	for _, seed := range e.cfg.GetSeeds() {
		host, _, _ := net.SplitHostPort(seed) // validated too
		out = append(out, net.JoinHostPort(host, port))
	}
	return out
}

// isSeed reports whether this instance is a seed; if none are configured, all instances are.
func (e *Edge) isSeed() bool {
	return len(e.cfg.GetSeeds()) == 0 || slices.Contains(e.seeds(), e.self.Address)
}

func (e *Edge) startComponents() {
	e.started = time.Now()
	for i, address := range e.seeds() {
		e.pulse.Add(core.Peer{ID: core.InstanceID(fmt.Sprintf("seed-%d", i)), Address: address})
	}
	e.pulse.Start()
	e.watch.Start()
	e.probe = probe.New(e.mover, e.endpoints, e.log, probe.Hooks{
		IsActive: e.mayMissNotices, OnRefused: func(id core.EndpointID) { e.gate.MarkUnreachable(id, true) }, OnLeaving: e.pulse.Broadcast,
		IsAssigned: func(ep core.Endpoint) bool {
			t := e.news.Table()
			return t != nil && t.Services[ep.Service].Engine != nil && e.pulse.RanksFirst(string(ep.ID))
		},
	})
	e.group.Go(e.register)
	e.group.Go(e.trackOutage)
	e.group.Go(e.applyQuarantine)
	e.log.Emit(event.Started, event.Fields{
		"callers": e.cfg.GetClientAddress(), "peers": e.self.Address, "store": e.cfg.GetStoreAddress(), "domain": e.self.FailureDomain,
	})
}

// mayMissNotices reports whether engines may leave without a notice from the store: the store counts as down, or no instance that
// watched it reaches it any more. It takes another 1.5 s until those that take over know that a silent store is down, and engines
// leave as soon.
func (e *Edge) mayMissNotices() bool {
	down, up := e.watch.Down(), e.watch.Up()
	return e.pulse.Outage(down, up) || e.pulse.OutageSuspected(pulse.Readers, down, up)
}

// applyQuarantine ends requests whose prompts have a part that was quarantined after they were sent.
func (e *Edge) applyQuarantine() { e.every(quarantineInterval, e.gate.EndQuarantined) }

// trackOutage records store outages in the endpoint list and lets it mark endpoints as gone whose entries expired in an
// outage.
func (e *Edge) trackOutage() {
	e.every(outageInterval, func(now time.Time) {
		if e.watch.Down() || e.pulse.Outage(e.watch.Down(), e.watch.Up()) {
			e.endpoints.RecordStoreOutage(now)
		}
		e.endpoints.ExpireLapsed(now)
		e.evacuated.Expire(now)
		if !e.news.Loaded() {
			e.catchUp() // mayTakeFromPeers has changed, perhaps
		}
	})
}

// every calls f at an interval until the instance is closed.
func (e *Edge) every(interval time.Duration, f func(now time.Time)) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case now := <-t.C:
			f(now)
		}
	}
}
