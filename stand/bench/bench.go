package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"syscall"
	"time"

	"snipeshed/core"
	"snipeshed/stand/batch"
	"snipeshed/stand/fleet"
	"snipeshed/stand/runner"
)

// Bench runs the benchmark and prints its figures.
type Bench struct {
	out io.Writer

	latencyStreams int
	latencyTokens  int
	loadStreams    int
	loadTokens     int
}

// Option configures a Bench.
type Option func(*Bench)

// WithLatency sets the number of streams of the latency phase and the tokens of each.
func WithLatency(streams, tokens int) Option {
	return func(b *Bench) { b.latencyStreams, b.latencyTokens = streams, tokens }
}

// WithLoad sets the number of streams of the load phase and the tokens of each.
func WithLoad(streams, tokens int) Option {
	return func(b *Bench) { b.loadStreams, b.loadTokens = streams, tokens }
}

// New returns a Bench that writes key=value lines to out.
func New(out io.Writer, opts ...Option) *Bench {
	b := &Bench{out: out, latencyStreams: 32, latencyTokens: 300, loadStreams: 256, loadTokens: 2000}
	for _, o := range opts {
		o(b)
	}
	return b
}

// engineConfig configures an engine whose steps are short and regular, so that the overhead of the proxy is measurable.
func engineConfig(step time.Duration) batch.Config {
	return batch.Config{
		KVCapacity: 1 << 30, MaxRunning: 1024, MaxStepTokens: 1 << 20,
		StepBase: step, StepPerSequence: time.Nanosecond, StepPerPromptToken: time.Nanosecond,
	}
}

const (
	latencyStep  = 10 * time.Millisecond // time per token
	loadStep     = 5 * time.Millisecond  // time per token
	loadRunners  = 8                     // 32 streams each by default, below the limit of running calls per endpoint
	startTimeout = 15 * time.Second
)

// Run runs the latency phase and the load phase and prints a line for each path.
func (b *Bench) Run(ctx context.Context) error {
	if err := b.measureLatency(ctx); err != nil {
		return err
	}
	return b.measureLoad(ctx)
}

// testbed is a fleet with two instances in front of the model runners: the owner of the pool and the other one.
type testbed struct {
	*fleet.Fleet
	owner, other *fleet.Node
}

func newTestbed(ctx context.Context, step time.Duration, runners int) (*testbed, error) {
	f, err := fleet.New()
	if err != nil {
		return nil, err
	}
	s := &testbed{Fleet: f}
	if err := s.start(ctx, step, runners); err != nil {
		_ = f.Close() // the error of the start is returned
		return nil, err
	}
	return s, nil
}

func (s *testbed) start(ctx context.Context, step time.Duration, runners int) error {
	for range runners {
		if _, err := s.AddRunner(runner.WithBatch(engineConfig(step)), runner.WithModel(fleet.Model, "1")); err != nil {
			return err
		}
	}
	for range 2 {
		if _, err := s.AddNode(); err != nil {
			return err
		}
	}
	if err := s.WaitReady(startTimeout); err != nil {
		return err
	}
	t, err := s.Nodes[0].Apply(ctx, s.Ticket())
	if err != nil {
		return err
	}
	if err := s.WaitTicket(startTimeout, t.GetNumber()); err != nil {
		return err
	}
	if err := s.WaitAccepting(startTimeout, runners); err != nil {
		return err
	}
	s.owner, s.other = s.Nodes[0], s.Nodes[1]
	if s.Nodes[0].PoolOwner(core.PoolID(fleet.Model+"/0")) != s.Nodes[0].ID {
		s.owner, s.other = s.other, s.owner
	}
	return nil
}

// path is a route from the client to the engine: direct, or through one or two instances.
type path struct {
	name       string
	newRequest func(ctx context.Context, i, tokens int) (*http.Request, error)
}

func (s *testbed) paths() []path {
	return []path{
		{"direct", func(ctx context.Context, i, n int) (*http.Request, error) {
			return directRequest(ctx, s.Runners[i%len(s.Runners)].Addr(), n)
		}},
		{"one_hop", func(ctx context.Context, _, n int) (*http.Request, error) {
			return chatRequest(ctx, s.owner.ClientAddress(), n)
		}},
		{"two_hops", func(ctx context.Context, _, n int) (*http.Request, error) {
			return chatRequest(ctx, s.other.ClientAddress(), n)
		}},
	}
}

func (b *Bench) measureLatency(ctx context.Context) error {
	s, err := newTestbed(ctx, latencyStep, 1)
	if err != nil {
		return err
	}
	defer s.Close()
	var direct latencySample
	for _, p := range s.paths() {
		got, err := measurePath(ctx, p, b.latencyStreams, b.latencyTokens, true)
		if err != nil {
			return fmt.Errorf("%s: %w", p.name, err)
		}
		if p.name == "direct" {
			direct = got
		}
		fmt.Fprintf(b.out, "bench=latency path=%s streams=%d first_token_p50_us=%d first_token_p99_us=%d gap_p50_us=%d gap_p99_us=%d "+
			"added_first_token_p50_us=%d added_first_token_p99_us=%d added_gap_p50_us=%d added_gap_p99_us=%d gap_p99_ratio=%.3f refused=%d\n",
			p.name, b.latencyStreams, got.firstTokenUs(50), got.firstTokenUs(99), got.tokenGapUs(50), got.tokenGapUs(99),
			got.firstTokenUs(50)-direct.firstTokenUs(50), got.firstTokenUs(99)-direct.firstTokenUs(99),
			got.tokenGapUs(50)-direct.tokenGapUs(50), got.tokenGapUs(99)-direct.tokenGapUs(99),
			float64(got.tokenGapUs(99))/float64(direct.tokenGapUs(99)), got.refused)
	}
	return nil
}

func (b *Bench) measureLoad(ctx context.Context) error {
	s, err := newTestbed(ctx, loadStep, loadRunners)
	if err != nil {
		return err
	}
	defer s.Close()
	var direct usage
	for _, p := range s.paths() {
		u, err := b.measureLoadPath(ctx, p)
		if err != nil {
			return fmt.Errorf("%s: %w", p.name, err)
		}
		if p.name == "direct" {
			direct = u
			fmt.Fprintf(b.out, "bench=load path=direct streams=%d tokens=%d cpu_us_per_token=%.3f bytes_per_stream=%d\n",
				b.loadStreams, u.tokens, u.cpuUsPerToken(), u.memoryBytes/int64(b.loadStreams))
			continue
		}
		added := u.cpuUsPerToken() - direct.cpuUsPerToken()
		fmt.Fprintf(b.out, "bench=load path=%s streams=%d tokens=%d cpu_us_per_token=%.3f added_cpu_us_per_token=%.3f "+
			"tokens_per_core_second=%.0f added_bytes_per_stream=%d cpu_ratio=%.2f refused=%d\n",
			p.name, b.loadStreams, u.tokens, u.cpuUsPerToken(), added, 1e6/added,
			(u.memoryBytes-direct.memoryBytes)/int64(b.loadStreams), u.cpuUsPerToken()/direct.cpuUsPerToken(), u.refused)
	}
	return nil
}

// usage holds the resources that the whole process, clients and engines included, used while one path was loaded.
type usage struct {
	tokens      int64
	refused     int64
	cpu         time.Duration
	memoryBytes int64
}

func (u usage) cpuUsPerToken() float64 {
	return float64(u.cpu.Nanoseconds()) / 1e3 / float64(u.tokens)
}

func (b *Bench) measureLoadPath(ctx context.Context, p path) (usage, error) {
	memoryBefore := memoryInUse()
	var memoryHalfway int64
	memoryProbe := time.AfterFunc(time.Duration(b.loadTokens)*loadStep/2, func() { memoryHalfway = memoryInUse() })
	cpuBefore := cpuTime()
	sample, err := measurePath(ctx, p, b.loadStreams, b.loadTokens, false)
	u := usage{tokens: sample.tokens, refused: sample.refused, cpu: cpuTime() - cpuBefore}
	memoryProbe.Stop()
	u.memoryBytes = memoryHalfway - memoryBefore
	return u, err
}

func memoryInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

func cpuTime() time.Duration {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r) // cannot fail for the process itself
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}
