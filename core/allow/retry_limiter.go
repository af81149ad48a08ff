package allow

import (
	"sync"
	"time"

	"snipeshed/core"
)

const (
	bucketCount = 20 // buckets per window
	// safetyFactor keeps the fleet's total under the limit although the windows of the instances are not aligned.
	safetyFactor = 0.7
)

// RetryLimiter is one instance's share of the fleet's retry budget, per service; it is safe for concurrent use.
//
// Each instance may retry ratio times its own calls in the window plus an equal share of the slack, so that the fleet's
// total stays under the limit whatever the other instances do.
type RetryLimiter struct {
	ratio        float64
	slack        float64
	bucketLength time.Duration

	mu       sync.Mutex
	services map[core.ServiceName]*window
}

// window counts the calls and retries of one service in a ring of buckets, one of which is only partly in the window.
type window struct {
	newestBucket int64
	calls        [bucketCount + 1]int
	retries      [bucketCount + 1]int
}

// New returns a RetryLimiter; ratio is the number of retries per call, slack the whole fleet's extra retries per window,
// and span the length of the window.
func New(ratio, slack float64, span time.Duration) *RetryLimiter {
	return &RetryLimiter{ratio: ratio, slack: slack, bucketLength: span / bucketCount, services: map[core.ServiceName]*window{}}
}

// CountCall counts a caller's request for a service.
func (l *RetryLimiter) CountCall(now time.Time, s core.ServiceName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w, i := l.currentBucket(now, s)
	w.calls[i]++
}

// TryRetry takes one retry if the budget allows it and reports whether it did; instances is the size of the fleet.
func (l *RetryLimiter) TryRetry(now time.Time, s core.ServiceName, instances int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	w, i := l.currentBucket(now, s)
	if !l.hasRetryLeft(w, instances) {
		return false
	}
	w.retries[i]++
	return true
}

// CanRetry reports whether TryRetry would succeed now, without taking a retry.
func (l *RetryLimiter) CanRetry(now time.Time, s core.ServiceName, instances int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	w, _ := l.currentBucket(now, s)
	return l.hasRetryLeft(w, instances)
}

func (l *RetryLimiter) hasRetryLeft(w *window, instances int) bool {
	calls, retries := 0, 0
	for j := range w.calls {
		calls += w.calls[j]
		retries += w.retries[j]
	}
	return float64(retries+1) <= safetyFactor*(l.ratio*float64(calls)+l.slack/float64(max(instances, 1)))
}

// ForceRetry takes one retry even if it exceeds the budget, for a call that would be lost without it.
func (l *RetryLimiter) ForceRetry(now time.Time, s core.ServiceName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w, i := l.currentBucket(now, s)
	w.retries[i]++
}

// currentBucket returns the window of a service and the index of its current bucket; it clears expired buckets.
func (l *RetryLimiter) currentBucket(now time.Time, s core.ServiceName) (*window, int) {
	n := now.UnixNano() / int64(l.bucketLength)
	w := l.services[s]
	if w == nil {
		w = &window{newestBucket: n}
		l.services[s] = w
	}
	for step := max(w.newestBucket+1, n-bucketCount); step <= n; step++ {
		i := step % (bucketCount + 1)
		w.calls[i], w.retries[i] = 0, 0
	}
	w.newestBucket = max(w.newestBucket, n)
	return w, int(w.newestBucket % (bucketCount + 1))
}
