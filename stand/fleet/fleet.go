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

// Fleet is a platform, endpoints and instances on loopback.
type Fleet struct {
	Platform *objs.Objs
	Runners  []*runner.Runner
	Services []*apprun.Apprun
	Nodes    []*Node

	// RunnerLinks lead to the runners, in their order, when the Fleet was made WithLinks.
	RunnerLinks []*link.Link
	// ServiceLinks lead to the application runners likewise.
	ServiceLinks []*link.Link

	logs     io.Writer
	settings []func(*conf.Settings)
	platform []objs.Option
	daemon   []daemon.Option
	linked   bool
	links    []*link.Link
	size     size

	// mu guards Nodes for List while an instance is added.
	mu sync.Mutex
}

// Option changes a Fleet.
type Option func(*Fleet)

// WithLogs sets where the instances' logs go; by default they are dropped.
func WithLogs(w io.Writer) Option { return func(f *Fleet) { f.logs = w } }

// WithSettings changes the settings of every instance.
func WithSettings(fn func(*conf.Settings)) Option {
	return func(f *Fleet) { f.settings = append(f.settings, fn) }
}

// WithPlatform passes options to the platform.
func WithPlatform(opts ...objs.Option) Option {
	return func(f *Fleet) { f.platform = append(f.platform, opts...) }
}

// SetDaemon replaces the options of the instances that are added from now on.
func (f *Fleet) SetDaemon(opts ...daemon.Option) { f.daemon = opts }

// WithLinks puts a link in front of each model and application runner, of each instance's peer listener and between each instance and the platform.
func WithLinks() Option { return func(f *Fleet) { f.linked = true } }

// WithoutLinks takes WithLinks back: links buffer up to 8 MiB of each connection.
func WithoutLinks() Option { return func(f *Fleet) { f.linked = false } }

// Domains are the failure domains over which instances and endpoints are spread.
var Domains = [...]core.FailureDomain{"domain-a", "domain-b", "domain-c"}

// New returns a Fleet whose platform runs.
func New(opts ...Option) (*Fleet, error) {
	f := &Fleet{logs: io.Discard, size: size{runners: 3, services: 1, nodes: 3}}
	for _, o := range opts {
		o(f)
	}
	f.Platform = objs.New(f.platform...)
	if err := f.Platform.Start(); err != nil {
		return nil, fmt.Errorf("start platform: %w", err)
	}
	return f, nil
}

// AddRunner starts a model runner and registers it in the instance list.
func (f *Fleet) AddRunner(opts ...runner.Option) (*runner.Runner, error) {
	r := runner.New(opts...)
	if err := r.Start(); err != nil {
		return nil, fmt.Errorf("start runner: %w", err)
	}
	l, err := f.link(r.Addr())
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

// link returns a started link to an address, or nil in a Fleet without links.
func (f *Fleet) link(target string) (*link.Link, error) {
	if !f.linked {
		return nil, nil
	}
	l := link.New(target)
	if err := l.Start(); err != nil {
		return nil, fmt.Errorf("start link: %w", err)
	}
	f.links = append(f.links, l)
	return l, nil
}

// runnerAddress is the address at which instances reach a runner.
func (f *Fleet) runnerAddress(i int) string {
	if f.linked {
		return f.RunnerLinks[i].Addr()
	}
	return f.Runners[i].Addr()
}

// AddService starts an application runner and registers it in the instance list.
func (f *Fleet) AddService(opts ...apprun.Option) (*apprun.Apprun, error) {
	s := apprun.New(opts...)
	if err := s.Start(); err != nil {
		return nil, fmt.Errorf("start application runner: %w", err)
	}
	l, err := f.link(s.Addr())
	if err != nil {
		return nil, err
	}
	if l != nil {
		f.ServiceLinks = append(f.ServiceLinks, l)
	}
	f.Services = append(f.Services, s)
	n := len(f.Services) - 1
	f.register(fmt.Sprintf("application-%d", n), f.serviceAddress(n), domain(n), member.KindEndpoint)
	return s, nil
}

// serviceAddress is the address at which instances reach an application runner.
func (f *Fleet) serviceAddress(i int) string {
	if f.linked {
		return f.ServiceLinks[i].Addr()
	}
	return f.Services[i].Addr()
}

func domain(i int) core.FailureDomain { return Domains[i%len(Domains)] }

func (f *Fleet) register(id, address string, d core.FailureDomain, kind string) {
	f.Platform.SetInstance(objs.Instance{ID: id, Address: address, FailureDomain: d, Kind: kind, State: member.StateLive})
}

// Node is one running instance.
type Node struct {
	*daemon.Daemon

	ID core.InstanceID
	// PeerLink leads to the peer listener and PlatformLink from here to the platform; both are nil without links.
	PeerLink, PlatformLink *link.Link

	cancel context.CancelFunc
	done   chan error
}

// AddNode starts an instance of snipeshed and registers it in the instance list.
func (f *Fleet) AddNode(change ...func(*conf.Settings)) (*Node, error) {
	n := len(f.Nodes)
	cfg := &conf.Settings{
		Instance: fmt.Sprintf("instance-%d", n), FailureDomain: string(domain(n)), PlatformUrl: "http://" + f.Platform.Addr(),
		ClientAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0", OperatorAddress: "127.0.0.1:0",
	}
	platform, err := f.link(f.Platform.Addr())
	if err != nil {
		return nil, err
	}
	if platform != nil {
		cfg.PlatformUrl = "http://" + platform.Addr()
	}
	for _, fn := range append(slices.Clone(f.settings), change...) {
		fn(cfg)
	}
	conf.SetDefaults(cfg)
	if err := conf.Check("fleet", cfg); err != nil {
		return nil, err
	}
	a, err := daemon.New(cfg, daemon.NewLog(cfg, f.logs), f.daemon...)
	if err != nil {
		return nil, err
	}
	peers, err := f.link(a.PeerAddress())
	if err != nil {
		return nil, err
	}
	address := a.PeerAddress()
	if peers != nil {
		address = peers.Addr()
	}
	ctx, cancel := context.WithCancel(context.Background())
	node := &Node{
		Daemon: a, ID: core.InstanceID(cfg.GetInstance()), PeerLink: peers, PlatformLink: platform,
		cancel: cancel, done: make(chan error, 1),
	}
	go func() { node.done <- a.Run(ctx) }()
	f.register(cfg.GetInstance(), address, core.FailureDomain(cfg.GetFailureDomain()), member.KindInstance)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Nodes = append(f.Nodes, node)
	return node, nil
}

// Stop shuts the instance down gracefully and waits for its end.
func (n *Node) Stop() error {
	n.cancel()
	err := <-n.done
	n.done <- err // so that a second Stop returns the same
	return err
}

// Kill cuts the instance's connections without draining, as the end of its process would, and waits for its end.
func (n *Node) Kill() error {
	n.Daemon.Kill()
	return n.Stop()
}

// Apply applies a ticket through the instance's operator API.
func (n *Node) Apply(ctx context.Context, t *wire.Ticket) (*wire.Ticket, error) {
	return wire.NewOperatorProtobufClient("http://"+n.OperatorAddress(), http.DefaultClient).Apply(ctx, t)
}

// pollInterval is how often the wait functions look.
const pollInterval = 5 * time.Millisecond

// Ready reports whether the instance's readiness address says so.
func (n *Node) Ready() bool {
	resp, err := http.Get("http://" + n.ClientAddress() + "/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// ErrTimeout means that a state was not reached in time.
var ErrTimeout = errors.New("state was not reached in time")

// Wait waits until cond holds.
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

// WaitTicket waits until a ticket is in force at every instance.
func (f *Fleet) WaitTicket(d time.Duration, number uint64) error {
	for _, n := range f.Nodes {
		if err := Wait(d, fmt.Sprintf("ticket %d at %s", number, n.ID), func() bool { return n.Ticket() >= core.TicketNumber(number) }); err != nil {
			return err
		}
	}
	return nil
}

// WaitAccepting waits until the owners of all pools see n accepting endpoints.
func (f *Fleet) WaitAccepting(d time.Duration, want int) error {
	return Wait(d, fmt.Sprintf("%d accepting endpoints", want), func() bool {
		seen := map[core.EndpointID]bool{}
		for _, n := range f.Nodes {
			for _, id := range n.Accepting() {
				seen[id] = true
			}
		}
		return len(seen) >= want
	})
}

// Close stops all instances, endpoints and the platform.
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
	for _, s := range f.Services {
		errs = append(errs, s.Close())
	}
	errs = append(errs, f.Platform.Close())
	for _, l := range f.links {
		errs = append(errs, l.Close())
	}
	return errors.Join(errs...)
}

// KeyDigest returns the SHA-256 digest of a client's key as tickets hold it.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
