package length

import (
	"math"
	"time"

	"snipeshed/core"
)

const (
	// bucketsPerDoubling limits the rounding error of a length to about 9% in either direction.
	bucketsPerDoubling = 4
	// buckets cover lengths up to 2^20 tokens.
	buckets = 20*bucketsPerDoubling + 1
)

// upperBounds[b] is the exclusive upper bound of bucket b.
var upperBounds = func() [buckets]float64 {
	var a [buckets]float64
	for b := range a {
		a[b] = math.Exp2(float64(b+1) / bucketsPerDoubling)
	}
	return a
}()

// bucketOf returns the bucket of a length.
func bucketOf(n core.Tokens) int {
	if n <= 1 {
		return 0
	}
	return min(int(math.Log2(float64(n))*bucketsPerDoubling), buckets-1)
}

// midpoint returns the geometric mean of the bounds of bucket b, which represents all its lengths.
func midpoint(b int) float64 {
	return upperBounds[b] * math.Exp2(-0.5/bucketsPerDoubling)
}

// histogram estimates the distribution of lengths from hazard rates (as a Kaplan-Meier estimator does): the hazard rate
// of a bucket is the fraction of the calls that reached it which ended in it. Running calls count in the buckets that they
// have reached. A histogram of ended calls alone would underestimate lengths whenever load rises, because short calls
// end first.
//
// The weight of samples halves per half-life. To make adding O(1), new samples get a growing weight instead of old ones a
// shrinking one.
type histogram struct {
	rescaledAt               time.Time
	reached                  [buckets]float64
	ended                    [buckets]float64
	newestWeight             float64
	dirty                    bool
	probability              [buckets]float64     // probability of each bucket
	tailProbability, tailSum [buckets + 1]float64 // probability from bucket b on, and probability times length
	endedWeight              float64
}

const (
	// maxSampleWeight is the weight of a new sample above which all weights are rescaled.
	maxSampleWeight = 1 << 40
	// priorHazard is the prior hazard rate of buckets without samples. It is that of a Pareto tail with exponent 3, in
	// which a call is expected to grow by half. A heavier tail would forecast so much memory that fewer
	// tokens are served.
	priorHazard = 0.405
	// priorSamples is the weight of the prior hazard rate in samples; more would distort short lengths.
	priorSamples = 0.05
)

// sampleWeight returns the weight of a sample taken now and rescales all weights when it is too large.
func (h *histogram) sampleWeight(now time.Time, halfLife time.Duration) float64 {
	if h.rescaledAt.IsZero() {
		h.rescaledAt = now
	}
	h.dirty = true
	w := math.Exp2(float64(now.Sub(h.rescaledAt)) / float64(halfLife))
	if w > maxSampleWeight {
		for b := range h.reached {
			h.reached[b] /= w
			h.ended[b] /= w
		}
		h.endedWeight /= w
		h.rescaledAt, h.newestWeight, w = now, 1, 1
	}
	h.newestWeight = max(h.newestWeight, w)
	return w
}

// recordReached counts a call that has newly reached the buckets between from and to, both included.
func (h *histogram) recordReached(now time.Time, halfLife time.Duration, from, to int) {
	w := h.sampleWeight(now, halfLife)
	for b := from; b <= to; b++ {
		h.reached[b] += w
	}
}

// recordEnded counts a call that ended in bucket b.
func (h *histogram) recordEnded(now time.Time, halfLife time.Duration, b int) {
	w := h.sampleWeight(now, halfLife)
	h.ended[b] += w
	h.endedWeight += w
}

// effectiveSamples returns the effective number of ended calls: their total weight relative to that of the newest sample.
func (h *histogram) effectiveSamples() float64 {
	if h.newestWeight == 0 {
		return 0
	}
	return h.endedWeight / h.newestWeight
}

// recompute recomputes the distribution if samples were added.
func (h *histogram) recompute() {
	if !h.dirty {
		return
	}
	h.dirty = false
	left := 1.0
	prior := priorSamples * h.newestWeight
	for b := range buckets {
		hazard := min((h.ended[b]+priorHazard*prior)/(h.reached[b]+prior), 1)
		if b == buckets-1 {
			hazard = 1
		}
		h.probability[b] = left * hazard
		left -= h.probability[b]
	}
	for b := buckets - 1; b >= 0; b-- {
		h.tailProbability[b] = h.tailProbability[b+1] + h.probability[b]
		h.tailSum[b] = h.tailSum[b+1] + h.probability[b]*midpoint(b)
	}
}

// probabilityAbove returns the probability of a length above n, assuming that lengths are spread evenly within a bucket.
func (h *histogram) probabilityAbove(n float64) float64 {
	h.recompute()
	if n < 1 {
		return h.tailProbability[0]
	}
	b := bucketOf(core.Tokens(n))
	low := upperBounds[b] * math.Exp2(-1.0/bucketsPerDoubling)
	part := min(max((upperBounds[b]-n)/(upperBounds[b]-low), 0), 1)
	return h.tailProbability[b+1] + h.probability[b]*part
}

// meanAbove returns the mean of the lengths above n.
func (h *histogram) meanAbove(n float64) float64 {
	h.recompute()
	b := bucketOf(core.Tokens(n))
	w := h.probabilityAbove(n)
	if w <= 0 {
		return n
	}
	own := w - h.tailProbability[b+1]
	return (h.tailSum[b+1] + own*(max(n, midpoint(b)*0.5)+upperBounds[b])/2) / w
}

// quantileAbove returns the q-quantile of the lengths above n.
func (h *histogram) quantileAbove(n, q float64) float64 {
	h.recompute()
	left := h.probabilityAbove(n) * (1 - q)
	for b := buckets - 1; b >= 0; b-- {
		if h.tailProbability[b] >= left {
			low := upperBounds[b] * math.Exp2(-1.0/bucketsPerDoubling)
			part := 1.0
			if h.probability[b] > 0 {
				part = 1 - (left-h.tailProbability[b+1])/h.probability[b]
			}
			return max(low+part*(upperBounds[b]-low), n)
		}
	}
	return n
}
