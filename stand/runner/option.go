package runner

import (
	"net"
	"time"

	"snipeshed/core"
	"snipeshed/stand/batch"
	"snipeshed/stand/host"
)

type settings struct {
	hostOptions        []host.Option
	batch              batch.Config
	speed              float64
	model              core.ModelName
	version            string
	role               string
	loadLag            time.Duration
	cacheLag           time.Duration
	cacheDropEvery     int
	loadTime           time.Duration
	retention          time.Duration
	checkOrders        bool
	leavingOnlyInLoad  bool
	acceptWhileLeaving bool
	outputTokens       func(core.GenerateRequest) core.Tokens
}

// Option configures a Runner.
type Option func(*settings)

// WithAddr sets the address to listen on; the default is a free port on loopback.
func WithAddr(addr string) Option {
	return func(s *settings) { s.hostOptions = append(s.hostOptions, host.WithAddr(addr)) }
}

// WithListener makes the runner serve on a listener of the caller.
func WithListener(ln net.Listener) Option {
	return func(s *settings) { s.hostOptions = append(s.hostOptions, host.WithListener(ln)) }
}

// WithBatch sets the engine's configuration, that is its size and speed.
func WithBatch(cfg batch.Config) Option { return func(s *settings) { s.batch = cfg } }

// WithSpeed divides the duration of every engine step by a factor (default 1), which must be positive.
func WithSpeed(factor float64) Option { return func(s *settings) { s.speed = factor } }

// WithModel sets the model and version that are loaded at the start. Without it the runner serves no model until an order
// names one.
func WithModel(model core.ModelName, version string) Option {
	return func(s *settings) { s.model, s.version = model, version }
}

// WithRole sets the role at the start (default "generate").
func WithRole(role string) Option { return func(s *settings) { s.role = role } }

// WithLoadLag sets how old the load reports are when they are served (default 500 ms).
func WithLoadLag(d time.Duration) Option { return func(s *settings) { s.loadLag = d } }

// WithCacheEvents sets the delay of cache events (default 200 ms) and drops every dropEvery-th event; 0 drops none.
func WithCacheEvents(lag time.Duration, dropEvery int) Option {
	return func(s *settings) { s.cacheLag, s.cacheDropEvery = lag, dropEvery }
}

// WithLoadTime sets how long it takes to load another model, version or set of adapters (default 0).
func WithLoadTime(d time.Duration) Option { return func(s *settings) { s.loadTime = d } }

// WithRetention sets the retention time of ended generations, during which they can be resumed (default 10 s).
func WithRetention(d time.Duration) Option { return func(s *settings) { s.retention = d } }

// WithOrderCheck sets whether orders with a lower number than the current order are rejected (default true).
func WithOrderCheck(on bool) Option { return func(s *settings) { s.checkOrders = on } }

// WithLeavingOnlyInLoad sets whether a leaving runner shows this in its load reports only: if so, it accepts new
// generations and sends no Endpoint-State header.
func WithLeavingOnlyInLoad(on bool) Option { return func(s *settings) { s.leavingOnlyInLoad = on } }

// WithAcceptWhileLeaving makes a leaving runner accept new generations; it still sends the Endpoint-State header.
func WithAcceptWhileLeaving() Option { return func(s *settings) { s.acceptWhileLeaving = true } }

// WithOutputTokens sets a function that determines the number of output tokens of each request. It overrides the
// prompt's directive and the seed, which apply if the function returns 0.
func WithOutputTokens(f func(core.GenerateRequest) core.Tokens) Option {
	return func(s *settings) { s.outputTokens = f }
}

func defaults() settings {
	return settings{
		speed: 1, loadLag: 500 * time.Millisecond, cacheLag: 200 * time.Millisecond,
		retention: 10 * time.Second, checkOrders: true, role: "generate",
		outputTokens: func(core.GenerateRequest) core.Tokens { return 0 },
	}
}

func (s settings) engineConfig() batch.Config {
	cfg := batch.New(s.batch).Config()
	scale := func(d time.Duration) time.Duration {
		// At least 1 ns, because 0 selects the default.
		return max(time.Duration(float64(d)/s.speed), 1)
	}
	cfg.StepBase = scale(cfg.StepBase)
	cfg.StepPerSequence = scale(cfg.StepPerSequence)
	cfg.StepPerPromptToken = scale(cfg.StepPerPromptToken)
	return cfg
}
