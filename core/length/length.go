package length

import (
	"time"

	"snipeshed/core"
)

const (
	defaultHalfLife   = 10 * time.Minute
	defaultMinSamples = 100 // calls
)

// unknownLength is the assumed length of a service without samples.
const unknownLength core.Tokens = 256

// Length learns output lengths per service, team and rank; it is not safe for concurrent use.
type Length struct {
	halfLife   time.Duration
	minSamples float64
	hists      map[key]*hist
}

// key names a histogram; the level keeps calls without team or rank from being counted twice.
type key struct {
	level   int
	service core.ServiceName
	team    core.TeamName
	rank    core.RankName
}

// Option changes a Length.
type Option func(*Length)

// WithHalfLife sets the time after which a sample counts half.
func WithHalfLife(d time.Duration) Option { return func(l *Length) { l.halfLife = d } }

// WithMinSamples sets the number of samples below which the next coarser level is used.
func WithMinSamples(n int) Option { return func(l *Length) { l.minSamples = float64(n) } }

// New returns a Length without samples.
func New(opts ...Option) *Length {
	l := &Length{halfLife: defaultHalfLife, minSamples: defaultMinSamples, hists: map[key]*hist{}}
	for _, o := range opts {
		o(l)
	}
	return l
}

// Observe records the length of a generation that reached its own end.
func (l *Length) Observe(now time.Time, c *core.Call, n core.Tokens) {
	p := l.Start(now, c)
	p.End(now, n)
}

// Start records that a generation begins.
func (l *Length) Start(now time.Time, c *core.Call) Progress {
	p := Progress{halfLife: l.halfLife}
	for i, k := range levels(c) {
		h := l.hists[k]
		if h == nil {
			h = &hist{}
			l.hists[k] = h
		}
		p.hists[i] = h
		h.reach(now, l.halfLife, 0, 0)
	}
	return p
}

// Progress is how far one generation has come.
type Progress struct {
	halfLife time.Duration
	hists    [3]*hist
	bucket   int
}

// Reach records that the generation has n tokens.
func (p *Progress) Reach(now time.Time, n core.Tokens) {
	if float64(n) < bounds[p.bucket] {
		return
	}
	if b := bucketOf(n); b > p.bucket {
		for _, h := range p.hists {
			h.reach(now, p.halfLife, p.bucket+1, b)
		}
		p.bucket = b
	}
}

// End records that the generation reached its own end after n tokens.
func (p *Progress) End(now time.Time, n core.Tokens) {
	p.Reach(now, n)
	for _, h := range p.hists {
		h.end(now, p.halfLife, p.bucket)
	}
}

// Expected returns the mean number of tokens that a call with n tokens so far still produces.
func (l *Length) Expected(c *core.Call, n core.Tokens) core.Tokens {
	e := l.For(c)
	return e.Expected(n)
}

// Quantile returns the number of tokens that a share q of calls with n tokens so far does not exceed from there on.
func (l *Length) Quantile(c *core.Call, n core.Tokens, q float64) core.Tokens {
	e := l.For(c)
	if e.known(n) {
		return e.limit(n, core.Tokens(e.h.quantile(float64(n), q))-n)
	}
	// Without samples the length is taken as exponential; its quantile at 0.9 is 2.3 times the mean.
	return e.limit(n, core.Tokens(float64(max(n, unknownLength))*q/(1.0001-q)))
}

// For returns the estimate for a call at the finest level with enough samples; it stays valid and follows later samples.
func (l *Length) For(c *core.Call) Estimate {
	var h *hist
	for _, k := range levels(c) {
		if k := l.hists[k]; k != nil {
			h = k
			if k.count() >= l.minSamples {
				break
			}
		}
	}
	return Estimate{h: h, maxTokens: c.MaxTokens}
}

func levels(c *core.Call) [3]key {
	return [3]key{{0, c.Service, c.Team, c.Rank}, {1, c.Service, "", c.Rank}, {2, c.Service, "", ""}}
}

// Estimate is the distribution of one call's length.
type Estimate struct {
	h         *hist
	maxTokens core.Tokens
}

// Expected returns the mean number of tokens still to come after n; it is at least 1 before the call's limit.
func (e Estimate) Expected(n core.Tokens) core.Tokens {
	if e.known(n) {
		return e.limit(n, core.Tokens(e.h.mean(float64(n)))-n)
	}
	// Lengths are heavy-tailed: a call beyond all samples is expected to double.
	return e.limit(n, max(n, unknownLength))
}

// Beyond returns the probability that a call with n tokens so far produces more than n+s tokens.
func (e Estimate) Beyond(n, s core.Tokens) float64 {
	if e.maxTokens > 0 && n+s >= e.maxTokens {
		return 0
	}
	if !e.known(n) {
		typical := float64(max(n, unknownLength))
		return typical / (typical + float64(s))
	}
	return e.h.weightBeyond(float64(n+s)) / e.h.weightBeyond(float64(n))
}

func (e Estimate) known(n core.Tokens) bool {
	if e.h == nil {
		return false
	}
	// Beyond the last bucket nothing is left.
	return e.h.count() > 0 && e.h.weightBeyond(float64(n)) > 1e-12
}

func (e Estimate) limit(n, more core.Tokens) core.Tokens {
	more = max(more, 1)
	if e.maxTokens > 0 {
		more = min(more, max(e.maxTokens-n, 0))
	}
	return more
}
