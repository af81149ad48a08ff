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

// hist is a log-bucket histogram whose samples lose half of their weight per half-life.
// New samples get a growing weight instead of old ones a shrinking one, so that adding is O(1).
type hist struct {
	start  time.Time
	weight [buckets]float64
	// above[b] is the weight of the buckets from b on, and sum[b] the weight times length; stale after add.
	above, sum [buckets + 1]float64
	stale      bool
	newest     float64
}

// maxScale is the growth of the weight of new samples at which all weights are rescaled.
const maxScale = 1 << 40

func (h *hist) add(now time.Time, halfLife time.Duration, n core.Tokens) {
	if h.start.IsZero() {
		h.start = now
	}
	w := math.Exp2(float64(now.Sub(h.start)) / float64(halfLife))
	if w > maxScale {
		for b := range h.weight {
			h.weight[b] /= w
		}
		h.start, w = now, 1
	}
	h.weight[bucketOf(n)] += w
	h.newest = max(h.newest, w)
	if w == 1 {
		h.newest = 1
	}
	h.stale = true
}

// count returns the number of samples in units of the newest one.
func (h *hist) count() float64 {
	h.refresh()
	if h.newest == 0 {
		return 0
	}
	return h.above[0] / h.newest
}

func (h *hist) refresh() {
	if !h.stale {
		return
	}
	h.stale = false
	for b := buckets - 1; b >= 0; b-- {
		h.above[b] = h.above[b+1] + h.weight[b]
		h.sum[b] = h.sum[b+1] + h.weight[b]*middle(b)
	}
}

// beyond returns the weight of lengths above n, as a share of all weight.
func (h *hist) beyond(n float64) float64 {
	h.refresh()
	if h.above[0] == 0 {
		return 0
	}
	return h.weightBeyond(n) / h.above[0]
}

// weightBeyond spreads the weight of n's own bucket evenly over it.
func (h *hist) weightBeyond(n float64) float64 {
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
