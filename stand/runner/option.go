package runner

import (
	"net"
	"time"

	"snipeshed/core"
	"snipeshed/stand/batch"
	"snipeshed/stand/host"
)

type settings struct {
	host        []host.Option
	batch       batch.Config
	speed       float64
	model       core.ModelName
	version     string
	role        string
	loadLag     time.Duration
	cacheLag    time.Duration
	cacheGap    int
	loadTime    time.Duration
	keep        time.Duration
	checkOrders bool
	quietLeave  bool
	takes       bool
	output      func(core.GenerateRequest) core.Tokens
}

// Option changes a Runner.
type Option func(*settings)

// WithAddr sets the address to listen on; the default is a free port on loopback.
func WithAddr(addr string) Option {
	return func(s *settings) { s.host = append(s.host, host.WithAddr(addr)) }
}

// WithListener serves a listener that the caller made.
func WithListener(ln net.Listener) Option {
	return func(s *settings) { s.host = append(s.host, host.WithListener(ln)) }
}

// WithBatch sets size and speed of the engine.
func WithBatch(cfg batch.Config) Option { return func(s *settings) { s.batch = cfg } }

// WithSpeed divides the duration of every step; it must be positive.
func WithSpeed(factor float64) Option { return func(s *settings) { s.speed = factor } }

// WithModel sets the model and version that are loaded at the start; without it an order has to come first.
func WithModel(model core.ModelName, version string) Option {
	return func(s *settings) { s.model, s.version = model, version }
}

// WithRole sets the role at the start.
func WithRole(role string) Option { return func(s *settings) { s.role = role } }

// WithLoadLag sets the age of load reports (default 500 ms).
func WithLoadLag(d time.Duration) Option { return func(s *settings) { s.loadLag = d } }

// WithCacheEvents sets the delay of cache events (default 200 ms) and drops every nth one; 0 drops none.
func WithCacheEvents(lag time.Duration, dropEvery int) Option {
	return func(s *settings) { s.cacheLag, s.cacheGap = lag, dropEvery }
}

// WithLoadTime sets how long an order for another model or version takes (default 0).
func WithLoadTime(d time.Duration) Option { return func(s *settings) { s.loadTime = d } }

// WithKeep sets how long a generation can be resumed after its end (default 10 s).
func WithKeep(d time.Duration) Option { return func(s *settings) { s.keep = d } }

// WithOrderCheck sets whether orders with an old number are rejected (default true).
func WithOrderCheck(on bool) Option { return func(s *settings) { s.checkOrders = on } }

// WithQuietLeave makes a leaving runner say so in its load reports only: it takes new generations and does not mark answers.
func WithQuietLeave(on bool) Option { return func(s *settings) { s.quietLeave = on } }

// WithLeavingTaken lets a leaving runner take new generations; its answers still say that it leaves.
func WithLeavingTaken() Option { return func(s *settings) { s.takes = true } }

// WithOutput sets the number of output tokens of each request in place of the prompt's directive and the seed; 0 falls back to them.
func WithOutput(f func(core.GenerateRequest) core.Tokens) Option {
	return func(s *settings) { s.output = f }
}

func defaults() settings {
	return settings{
		speed: 1, loadLag: 500 * time.Millisecond, cacheLag: 200 * time.Millisecond,
		keep: 10 * time.Second, checkOrders: true, role: "generate",
		output: func(core.GenerateRequest) core.Tokens { return 0 },
	}
}

func (s settings) scaled() batch.Config {
	cfg := batch.New(s.batch).Config()
	scale := func(d time.Duration) time.Duration {
		// Zero would stand for the default.
		return max(time.Duration(float64(d)/s.speed), 1)
	}
	cfg.StepBase = scale(cfg.StepBase)
	cfg.StepPerSequence = scale(cfg.StepPerSequence)
	cfg.StepPerPromptToken = scale(cfg.StepPerPromptToken)
	return cfg
}
