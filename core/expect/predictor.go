package expect

import (
	"math"
	"sync"

	"snipeshed/core"
)

const (
	// hintWeight is the weight of a caller's hint relative to the learned length, on a log scale: the median hint is
	// right, but single hints are often further off than lengths differ between calls of a kind.
	hintWeight = 0.33
	// newestWeight is the weight of the newest length in the exponential moving average of a kind.
	newestWeight = 0.05
	// defaultLimitShare is the fraction of the limit that is predicted for a kind without samples.
	defaultLimitShare = 0.3
	// meanOverMedian is the ratio of the mean to the median of the skewed distribution of lengths.
	meanOverMedian = 1.3
	// maxKinds is the maximum number of kinds of calls whose lengths are learned, to bound the memory used.
	maxKinds = 1024
)

// Predictor predicts output lengths per kind of call, such as a route; it is safe for concurrent use.
type Predictor struct {
	mu            sync.Mutex
	meanLogLength map[string]float64 // moving average of the logarithm of the lengths, by kind
}

// New returns a Predictor without samples.
func New() *Predictor { return &Predictor{meanLogLength: map[string]float64{}} }

// RecordLength records the length of a generation that has ended.
func (p *Predictor) RecordLength(kind string, length core.Tokens) {
	if length <= 0 {
		return
	}
	l := math.Log(float64(length))
	p.mu.Lock()
	defer p.mu.Unlock()
	old, ok := p.meanLogLength[kind]
	switch {
	case ok:
		p.meanLogLength[kind] = old + newestWeight*(l-old)
	case len(p.meanLogLength) < maxKinds:
		p.meanLogLength[kind] = l
	}
}

// PredictLength returns the predicted length of a generation; hint and limit are the caller's, and 0 means none.
func (p *Predictor) PredictLength(kind string, hint, limit core.Tokens) core.Tokens {
	p.mu.Lock()
	logMedian, ok := p.meanLogLength[kind]
	p.mu.Unlock()
	if !ok {
		logMedian = math.Log(defaultLimitShare * float64(max(limit, 1)))
	}
	if hint > 0 {
		logMedian += hintWeight * (math.Log(float64(hint)) - logMedian)
	}
	out := core.Tokens(meanOverMedian * math.Exp(logMedian))
	if limit > 0 {
		out = min(out, limit)
	}
	return max(out, 1)
}
