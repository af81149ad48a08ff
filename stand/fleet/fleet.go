package fleet

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"snipeshed/conf"
	"snipeshed/core"
	"snipeshed/core/member"
	"snipeshed/daemon"
	"snipeshed/stand/apprun"
	"snipeshed/stand/link"
	"snipeshed/stand/objs"
	"snipeshed/stand/runner"
	"snipeshed/wire"
)

// Fleet is a test cluster on loopback: a simulated platform, endpoints and instances of snipeshed.
type Fleet struct {
	Platform   *objs.Platform
	Runners    []*runner.Runner
	AppRunners []*apprun.AppServer
	Nodes      []*Node

	// RunnerLinks holds the fault-injecting proxy of each model runner, in the order of Runners, if WithLinks was set.
	RunnerLinks []*link.Link
	// AppRunnerLinks holds the proxy of each application runner, in the order of AppRunners.
	AppRunnerLinks []*link.Link

	logs            io.Writer
	settings        []func(*conf.Settings)
	platformOptions []objs.Option
	daemonOptions   []daemon.Option
	withLinks       bool
	links           []*link.Link
	composition     composition

	// mu guards Nodes, which NodesCopy may read while AddNode appends.
	mu sync.Mutex
}

// Option configures a Fleet.
type Option func(*Fleet)

// WithLogs sets the writer of the instances' logs; by default they are discarded.
func WithLogs(w io.Writer) Option { return func(f *Fleet) { f.logs = w } }

// WithSettings adds a function that changes the settings of every instance before the defaults are set.
func WithSettings(fn func(*conf.Settings)) Option {
	return func(f *Fleet) { f.settings = append(f.settings, fn) }
}

// WithPlatformOptions passes options to the simulated platform.
func WithPlatformOptions(opts ...objs.Option) Option {
	return func(f *Fleet) { f.platformOptions = append(f.platformOptions, opts...) }
}

// SetDaemonOptions replaces the daemon options of the instances that are added later.
func (f *Fleet) SetDaemonOptions(opts ...daemon.Option) { f.daemonOptions = opts }

// WithLinks puts a fault-injecting proxy (a link) in front of each model runner, application runner and peer listener,
// and between each instance and the platform.
func WithLinks() Option { return func(f *Fleet) { f.withLinks = true } }

// WithoutLinks undoes WithLinks, for tests that a link's buffer of up to 8 MiB per connection would distort.
func WithoutLinks() Option { return func(f *Fleet) { f.withLinks = false } }

// Domains are the failure domains to which instances and endpoints are assigned round-robin.
var Domains = [...]core.FailureDomain{"domain-a", "domain-b", "domain-c"}

// New returns a Fleet with a running platform and no endpoints or instances.
func New(opts ...Option) (*Fleet, error) {
	f := &Fleet{logs: io.Discard, composition: composition{runners: 3, appRunners: 1, instances: 3}}
	for _, o := range opts {
		o(f)
	}
	f.Platform = objs.New(f.platformOptions...)
	if err := f.Platform.Start(); err != nil {
		return nil, fmt.Errorf("start platform: %w", err)
	}
	return f, nil
}

// AddRunner starts a model runner and registers it in the platform's instance list.
func (f *Fleet) AddRunner(opts ...runner.Option) (*runner.Runner, error) {
	r := runner.New(opts...)
	if err := r.Start(); err != nil {
		return nil, fmt.Errorf("start runner: %w", err)
	}
	l, err := f.startLink(r.Addr())
	if err != nil {
		return nil, err
	}
	if l != nil {
		f.RunnerLinks = append(f.RunnerLinks, l)
	}
	f.Runners = append(f.Runners, r)
	n := len(f.Runners) - 1
	f.register(fmt.Sprintf("runner-%d", n), f.runnerAddress(n), domain(n), member.KindEndpoint)
	return r, nil
}

// startLink starts a proxy to an address; it returns nil in a Fleet without links.
func (f *Fleet) startLink(target string) (*link.Link, error) {
	if !f.withLinks {
		return nil, nil
	}
	l := link.New(target)
	if err := l.Start(); err != nil {
		return nil, fmt.Errorf("start link: %w", err)
	}
	f.links = append(f.links, l)
	return l, nil
}

// runnerAddress returns the address at which instances reach a runner: its link's, if it has one.
func (f *Fleet) runnerAddress(i int) string {
	if f.withLinks {
		return f.RunnerLinks[i].Addr()
	}
	return f.Runners[i].Addr()
}

// AddAppRunner starts an application runner and registers it in the platform's instance list.
func (f *Fleet) AddAppRunner(opts ...apprun.Option) (*apprun.AppServer, error) {
	s := apprun.New(opts...)
	if err := s.Start(); err != nil {
		return nil, fmt.Errorf("start application runner: %w", err)
	}
	l, err := f.startLink(s.Addr())
	if err != nil {
		return nil, err
	}
	if l != nil {
		f.AppRunnerLinks = append(f.AppRunnerLinks, l)
	}
	f.AppRunners = append(f.AppRunners, s)
	n := len(f.AppRunners) - 1
	f.register(fmt.Sprintf("application-%d", n), f.appRunnerAddress(n), domain(n), member.KindEndpoint)
	return s, nil
}

// appRunnerAddress returns the address at which instances reach an application runner: its link's, if it has one.
func (f *Fleet) appRunnerAddress(i int) string {
	if f.withLinks {
		return f.AppRunnerLinks[i].Addr()
	}
	return f.AppRunners[i].Addr()
}

func domain(i int) core.FailureDomain { return Domains[i%len(Domains)] }

func (f *Fleet) register(id, address string, d core.FailureDomain, kind string) {
	f.Platform.SetInstance(objs.Instance{ID: id, Address: address, FailureDomain: d, Kind: kind, State: member.StateLive})
}

// Node is one running instance of snipeshed.
type Node struct {
	*daemon.Daemon

	ID core.InstanceID
	// PeerLink is the proxy of the peer listener, PlatformLink the proxy between the instance and the platform; both are
	// nil without links.
	PeerLink, PlatformLink *link.Link

	cancel context.CancelFunc
	done   chan error
}

// AddNode starts an instance of snipeshed, with its settings changed by the given functions, and registers it in the
// platform's instance list.
func (f *Fleet) AddNode(change ...func(*conf.Settings)) (*Node, error) {
	index := len(f.Nodes)
	cfg := &conf.Settings{
		Instance: fmt.Sprintf("instance-%d", index), FailureDomain: string(domain(index)), PlatformUrl: "http://" + f.Platform.Addr(),
		ClientAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0", OperatorAddress: "127.0.0.1:0",
	}
	platformLink, err := f.startLink(f.Platform.Addr())
	if err != nil {
		return nil, err
	}
	if platformLink != nil {
		cfg.PlatformUrl = "http://" + platformLink.Addr()
	}
	for _, fn := range append(slices.Clone(f.settings), change...) {
		fn(cfg)
	}
	conf.SetDefaults(cfg)
	if err := conf.Check("fleet", cfg); err != nil {
		return nil, err
	}
	d, err := daemon.New(cfg, daemon.NewLog(cfg, f.logs), f.daemonOptions...)
	if err != nil {
		return nil, err
	}
	peerLink, err := f.startLink(d.PeerAddress())
	if err != nil {
		return nil, err
	}
	peerAddress := d.PeerAddress()
	if peerLink != nil {
		peerAddress = peerLink.Addr()
	}
	ctx, cancel := context.WithCancel(context.Background())
	node := &Node{
		Daemon: d, ID: core.InstanceID(cfg.GetInstance()), PeerLink: peerLink, PlatformLink: platformLink,
		cancel: cancel, done: make(chan error, 1),
	}
	go func() { node.done <- d.Run(ctx) }()
	f.register(cfg.GetInstance(), peerAddress, core.FailureDomain(cfg.GetFailureDomain()), member.KindInstance)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Nodes = append(f.Nodes, node)
	return node, nil
}

// Stop shuts the instance down gracefully and waits until it has stopped.
func (n *Node) Stop() error {
	n.cancel()
	err := <-n.done
	n.done <- err // a second Stop returns the same error
	return err
}

// Kill closes the instance's connections without draining them, as a crash of its process would, and waits until it has
// stopped.
func (n *Node) Kill() error {
	n.Daemon.Kill()
	return n.Stop()
}

// Apply applies a ticket through the instance's operator API.
func (n *Node) Apply(ctx context.Context, t *wire.Ticket) (*wire.Ticket, error) {
	return wire.NewOperatorProtobufClient("http://"+n.OperatorAddress(), http.DefaultClient).Apply(ctx, t)
}

// pollInterval is the time between two checks of a wait function.
const pollInterval = 5 * time.Millisecond

// Ready reports whether GET /readyz at the instance returns 200.
func (n *Node) Ready() bool {
	resp, err := http.Get("http://" + n.ClientAddress() + "/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// ErrTimeout is returned by the wait functions when the state was not reached in time.
var ErrTimeout = errors.New("state was not reached in time")

// Wait polls cond until it returns true, for at most d; the error names what was awaited.
func Wait(d time.Duration, what string, cond func() bool) error {
	deadline := time.Now().Add(d)
	for !cond() {
		if time.Now().After(deadline) {
			return fmt.Errorf("%w: %s", ErrTimeout, what)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// WaitReady waits until every instance is ready.
func (f *Fleet) WaitReady(d time.Duration) error {
	for _, n := range f.Nodes {
		if err := Wait(d, string(n.ID)+" ready", n.Ready); err != nil {
			return err
		}
	}
	return nil
}

// WaitTicket waits until a ticket, or a later one, is in force at every instance.
func (f *Fleet) WaitTicket(d time.Duration, number uint64) error {
	for _, n := range f.Nodes {
		if err := Wait(d, fmt.Sprintf("ticket %d at %s", number, n.ID), func() bool { return n.TicketNumber() >= core.TicketNumber(number) }); err != nil {
			return err
		}
	}
	return nil
}

// WaitAccepting waits until the pool owners together see at least want accepting endpoints.
func (f *Fleet) WaitAccepting(d time.Duration, want int) error {
	return Wait(d, fmt.Sprintf("%d accepting endpoints", want), func() bool {
		seen := map[core.EndpointID]bool{}
		for _, n := range f.Nodes {
			for _, id := range n.AcceptingEndpoints() {
				seen[id] = true
			}
		}
		return len(seen) >= want
	})
}

// Close stops all instances, then the endpoints, the platform and the links.
func (f *Fleet) Close() error {
	errs := make([]error, len(f.Nodes))
	var nodes sync.WaitGroup
	for i, n := range f.Nodes {
		nodes.Go(func() { errs[i] = n.Stop() })
	}
	nodes.Wait()
	for _, r := range f.Runners {
		errs = append(errs, r.Close())
	}
	for _, s := range f.AppRunners {
		errs = append(errs, s.Close())
	}
	errs = append(errs, f.Platform.Close())
	for _, l := range f.links {
		errs = append(errs, l.Close())
	}
	return errors.Join(errs...)
}

// KeyDigest returns the hexadecimal SHA-256 digest of an API key, the form in which tickets hold keys.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
