package length

import (
	"time"

	"snipeshed/core"
)

const (
	defaultHalfLife   = 10 * time.Minute
	defaultMinSamples = 100 // calls
)

// unknownLength is the assumed typical length for a service without samples.
const unknownLength core.Tokens = 256

// Predictor predicts output lengths from samples per service, team and rank; it is not safe for concurrent use.
type Predictor struct {
	halfLife   time.Duration
	minSamples float64
	histograms map[histogramKey]*histogram
}

// histogramKey identifies a histogram; the level keeps calls without a team or rank from being counted twice.
type histogramKey struct {
	level   int
	service core.ServiceName
	team    core.TeamName
	rank    core.RankName
}

// Option configures a Predictor.
type Option func(*Predictor)

// WithHalfLife sets the time after which a sample has half of its weight.
func WithHalfLife(d time.Duration) Option { return func(p *Predictor) { p.halfLife = d } }

// WithMinSamples sets the number of samples below which the next coarser histogram is used.
func WithMinSamples(n int) Option { return func(p *Predictor) { p.minSamples = float64(n) } }

// New returns a Predictor without samples.
func New(opts ...Option) *Predictor {
	p := &Predictor{halfLife: defaultHalfLife, minSamples: defaultMinSamples, histograms: map[histogramKey]*histogram{}}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Observe records the length of a completed generation.
func (p *Predictor) Observe(now time.Time, c *core.Call, n core.Tokens) {
	progress := p.StartProgress(now, c)
	progress.Complete(now, n)
}

// StartProgress records that a generation starts.
func (p *Predictor) StartProgress(now time.Time, c *core.Call) Progress {
	progress := Progress{halfLife: p.halfLife}
	for i, k := range histogramKeys(c) {
		h := p.histograms[k]
		if h == nil {
			h = &histogram{}
			p.histograms[k] = h
		}
		progress.histograms[i] = h
		h.recordReached(now, p.halfLife, 0, 0)
	}
	return progress
}

// Progress records the progress of one generation.
type Progress struct {
	halfLife   time.Duration
	histograms [3]*histogram
	bucket     int
}

// Advance records that the generation has produced n tokens in all.
func (p *Progress) Advance(now time.Time, n core.Tokens) {
	if float64(n) < upperBounds[p.bucket] {
		return
	}
	if b := bucketOf(n); b > p.bucket {
		for _, h := range p.histograms {
			h.recordReached(now, p.halfLife, p.bucket+1, b)
		}
		p.bucket = b
	}
}

// Complete records that the generation was completed after n tokens.
func (p *Progress) Complete(now time.Time, n core.Tokens) {
	p.Advance(now, n)
	for _, h := range p.histograms {
		h.recordEnded(now, p.halfLife, p.bucket)
	}
}

// Expected returns the expected number of further tokens of a call that has produced n.
func (p *Predictor) Expected(c *core.Call, n core.Tokens) core.Tokens {
	e := p.EstimateFor(c)
	return e.Expected(n)
}

// Quantile returns the q-quantile of the number of further tokens of a call that has produced n.
func (p *Predictor) Quantile(c *core.Call, n core.Tokens, q float64) core.Tokens {
	e := p.EstimateFor(c)
	if e.hasSamplesAbove(n) {
		return e.boundMore(n, core.Tokens(e.histogram.quantileAbove(float64(n), q))-n)
	}
	// Without samples this inverts the heavy-tailed distribution of Estimate.ProbabilityBeyond; 1.0001 avoids a division
	// by zero.
	return e.boundMore(n, core.Tokens(float64(max(n, unknownLength))*q/(1.0001-q)))
}

// EstimateFor returns the estimate for a call from the finest histogram with enough samples; the estimate reflects
// later samples.
func (p *Predictor) EstimateFor(c *core.Call) Estimate {
	var h *histogram
	for _, key := range histogramKeys(c) {
		if found := p.histograms[key]; found != nil {
			h = found
			if found.effectiveSamples() >= p.minSamples {
				break
			}
		}
	}
	return Estimate{histogram: h, maxTokens: c.MaxTokens}
}

// histogramKeys returns the keys of a call's histograms, finest first.
func histogramKeys(c *core.Call) [3]histogramKey {
	return [3]histogramKey{{0, c.Service, c.Team, c.Rank}, {1, c.Service, "", c.Rank}, {2, c.Service, "", ""}}
}

// Estimate is the estimated distribution of one call's length.
type Estimate struct {
	histogram *histogram
	maxTokens core.Tokens
}

// Expected returns the expected number of further tokens after n; it is at least 1 below the call's limit.
func (e Estimate) Expected(n core.Tokens) core.Tokens {
	if e.hasSamplesAbove(n) {
		return e.boundMore(n, core.Tokens(e.histogram.meanAbove(float64(n)))-n)
	}
	// Lengths are heavy-tailed: a call that is longer than all samples is expected to double.
	return e.boundMore(n, max(n, unknownLength))
}

// ProbabilityBeyond returns the probability that a call that has produced n tokens produces more than s further ones.
func (e Estimate) ProbabilityBeyond(n, s core.Tokens) float64 {
	if e.maxTokens > 0 && n+s >= e.maxTokens {
		return 0
	}
	if !e.hasSamplesAbove(n) {
		typical := float64(max(n, unknownLength))
		return typical / (typical + float64(s))
	}
	return e.histogram.probabilityAbove(float64(n+s)) / e.histogram.probabilityAbove(float64(n))
}

// hasSamplesAbove reports whether there are samples of lengths above n.
func (e Estimate) hasSamplesAbove(n core.Tokens) bool {
	if e.histogram == nil {
		return false
	}
	// The probability of lengths beyond the last bucket is 0.
	return e.histogram.effectiveSamples() > 0 && e.histogram.probabilityAbove(float64(n)) > 1e-12
}

// boundMore bounds a number of further tokens after n from below by 1 and from above by the call's limit.
func (e Estimate) boundMore(n, more core.Tokens) core.Tokens {
	more = max(more, 1)
	if e.maxTokens > 0 {
		more = min(more, max(e.maxTokens-n, 0))
	}
	return more
}
