package length

import (
	"math"
	"time"

	"snipeshed/core"
)

const (
	// bucketsPerDoubling bounds the error of a length to about 9% either way.
	bucketsPerDoubling = 4
	// buckets cover lengths up to 2^20 tokens.
	buckets = 20*bucketsPerDoubling + 1
)

// bounds[b] is the smallest length above bucket b.
var bounds = func() [buckets]float64 {
	var a [buckets]float64
	for b := range a {
		a[b] = math.Exp2(float64(b+1) / bucketsPerDoubling)
	}
	return a
}()

func bucketOf(n core.Tokens) int {
	if n <= 1 {
		return 0
	}
	return min(int(math.Log2(float64(n))*bucketsPerDoubling), buckets-1)
}

// middle returns the length that stands for all lengths of bucket b.
func middle(b int) float64 {
	return bounds[b] * math.Exp2(-0.5/bucketsPerDoubling)
}

// hist estimates the distribution of lengths from hazards: for each bucket, the calls that ended in it as a part of
// those that reached it. Running calls count in the buckets that they have reached. A histogram of ended calls alone
// would underestimate lengths whenever load rises, because the short calls end first.
//
// Samples lose half of their weight per half-life. New samples get a growing weight instead of old ones a shrinking
// one, so that adding is O(1).
type hist struct {
	start        time.Time
	reached      [buckets]float64
	ended        [buckets]float64
	newest       float64
	stale        bool
	weight       [buckets]float64     // probability of each bucket
	above, sum   [buckets + 1]float64 // probability from bucket b on, and probability times length
	endedSamples float64
}

const (
	// maxScale is the growth of the weight of new samples at which all weights are rescaled.
	maxScale = 1 << 40
	// tailHazard is the hazard where there are no samples. It belongs to a Pareto tail with exponent 3, in which a call
	// is expected to grow by half. Exponent 2 (0.293) forecast so much memory that up to 4% fewer tokens were served.
	tailHazard = 0.405
	// tailSamples is the number of samples that the tail hazard counts for; more would blur short lengths.
	tailSamples = 0.05
)

// scale returns the weight of a sample at a time.
func (h *hist) scale(now time.Time, halfLife time.Duration) float64 {
	if h.start.IsZero() {
		h.start = now
	}
	h.stale = true
	w := math.Exp2(float64(now.Sub(h.start)) / float64(halfLife))
	if w > maxScale {
		for b := range h.reached {
			h.reached[b] /= w
			h.ended[b] /= w
		}
		h.endedSamples /= w
		h.start, h.newest, w = now, 1, 1
	}
	h.newest = max(h.newest, w)
	return w
}

// reach counts a call that has come to buckets from to to.
func (h *hist) reach(now time.Time, halfLife time.Duration, from, to int) {
	w := h.scale(now, halfLife)
	for b := from; b <= to; b++ {
		h.reached[b] += w
	}
}

// end counts a call that ended in a bucket.
func (h *hist) end(now time.Time, halfLife time.Duration, b int) {
	w := h.scale(now, halfLife)
	h.ended[b] += w
	h.endedSamples += w
}

// count returns the number of calls that ended, in units of the newest sample.
func (h *hist) count() float64 {
	if h.newest == 0 {
		return 0
	}
	return h.endedSamples / h.newest
}

func (h *hist) refresh() {
	if !h.stale {
		return
	}
	h.stale = false
	left := 1.0
	prior := tailSamples * h.newest
	for b := range buckets {
		hazard := min((h.ended[b]+tailHazard*prior)/(h.reached[b]+prior), 1)
		if b == buckets-1 {
			hazard = 1
		}
		h.weight[b] = left * hazard
		left -= h.weight[b]
	}
	for b := buckets - 1; b >= 0; b-- {
		h.above[b] = h.above[b+1] + h.weight[b]
		h.sum[b] = h.sum[b+1] + h.weight[b]*middle(b)
	}
}

// weightBeyond returns the probability of a length above n; it spreads the probability of n's own bucket evenly over it.
func (h *hist) weightBeyond(n float64) float64 {
	h.refresh()
	if n < 1 {
		return h.above[0]
	}
	b := bucketOf(core.Tokens(n))
	low := bounds[b] * math.Exp2(-1.0/bucketsPerDoubling)
	part := min(max((bounds[b]-n)/(bounds[b]-low), 0), 1)
	return h.above[b+1] + h.weight[b]*part
}

// mean returns the mean length of those above n.
func (h *hist) mean(n float64) float64 {
	h.refresh()
	b := bucketOf(core.Tokens(n))
	w := h.weightBeyond(n)
	if w <= 0 {
		return n
	}
	own := w - h.above[b+1]
	return (h.sum[b+1] + own*(max(n, middle(b)*0.5)+bounds[b])/2) / w
}

// quantile returns the length that a share q of those above n does not exceed.
func (h *hist) quantile(n, q float64) float64 {
	h.refresh()
	left := h.weightBeyond(n) * (1 - q)
	for b := buckets - 1; b >= 0; b-- {
		if h.above[b] >= left {
			low := bounds[b] * math.Exp2(-1.0/bucketsPerDoubling)
			part := 1.0
			if h.weight[b] > 0 {
				part = 1 - (left-h.above[b+1])/h.weight[b]
			}
			return max(low+part*(bounds[b]-low), n)
		}
	}
	return n
}
