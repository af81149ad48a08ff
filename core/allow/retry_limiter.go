package allow

import (
	"sync"
	"time"

	"snipeshed/core"
)

const (
	bucketCount = 20
	// safetyMargin keeps the fleet's total under the limit although the windows of the instances are not aligned.
	safetyMargin = 0.7
)

// RetryLimiter is one instance's share of the fleet's retry budget, per service; it is safe for concurrent use.
//
// Each instance may retry ratio times its own calls in the window plus an equal share of the slack, so that the fleet's
// total stays under the limit whatever the other instances do.
type RetryLimiter struct {
	ratio  float64
	slack  float64
	bucket time.Duration

	mu       sync.Mutex
	services map[core.ServiceName]*window
}

type window struct {
	newestBucket int64
	calls        [bucketCount + 1]int
	retries      [bucketCount + 1]int
}

// New returns a RetryLimiter; ratio is the number of retries per call, slack the whole fleet's extra retries per
// window.
func New(ratio, slack float64, span time.Duration) *RetryLimiter {
	return &RetryLimiter{ratio: ratio, slack: slack, bucket: span / bucketCount, services: map[core.ServiceName]*window{}}
}

// CountCall counts a caller's request for a service.
func (a *RetryLimiter) CountCall(now time.Time, s core.ServiceName) {
	a.mu.Lock()
	defer a.mu.Unlock()
	w, i := a.currentBucket(now, s)
	w.calls[i]++
}

// TryRetry takes one retry if the budget allows it and reports whether it did; instances is the size of the fleet.
func (a *RetryLimiter) TryRetry(now time.Time, s core.ServiceName, instances int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	w, i := a.currentBucket(now, s)
	if !a.hasRetryLeft(w, instances) {
		return false
	}
	w.retries[i]++
	return true
}

// CanRetry reports whether TryRetry would succeed now, without taking a retry.
func (a *RetryLimiter) CanRetry(now time.Time, s core.ServiceName, instances int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	w, _ := a.currentBucket(now, s)
	return a.hasRetryLeft(w, instances)
}

func (a *RetryLimiter) hasRetryLeft(w *window, instances int) bool {
	calls, retries := 0, 0
	for j := range w.calls {
		calls += w.calls[j]
		retries += w.retries[j]
	}
	return float64(retries+1) <= safetyMargin*(a.ratio*float64(calls)+a.slack/float64(max(instances, 1)))
}

// ForceRetry takes one retry even if it exceeds the budget, for a call that would be lost without it.
func (a *RetryLimiter) ForceRetry(now time.Time, s core.ServiceName) {
	a.mu.Lock()
	defer a.mu.Unlock()
	w, i := a.currentBucket(now, s)
	w.retries[i]++
}

// currentBucket returns the window of a service and the index of its current bucket; it clears expired buckets.
func (a *RetryLimiter) currentBucket(now time.Time, s core.ServiceName) (*window, int) {
	n := now.UnixNano() / int64(a.bucket)
	w := a.services[s]
	if w == nil {
		w = &window{newestBucket: n}
		a.services[s] = w
	}
	for step := max(w.newestBucket+1, n-bucketCount); step <= n; step++ {
		i := step % (bucketCount + 1)
		w.calls[i], w.retries[i] = 0, 0
	}
	w.newestBucket = max(w.newestBucket, n)
	return w, int(w.newestBucket % (bucketCount + 1))
}
