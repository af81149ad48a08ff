package allow

import (
	"sync"
	"time"

	"snipeshed/core"
)

const (
	buckets = 20
	// margin keeps the sum over the fleet under the bound while instances count their windows at different moments.
	margin = 0.7
)

// Allow is one instance's part of the fleet's retry budget, per service; it is safe for concurrent use.
//
// Each instance may retry ratio times its own calls in the window and an even part of the slack, so that the sum over
// the fleet stays under the bound whatever the other instances do.
type Allow struct {
	ratio  float64
	slack  float64
	bucket time.Duration

	mu       sync.Mutex
	services map[core.ServiceName]*window
}

type window struct {
	newest  int64
	calls   [buckets + 1]int
	retries [buckets + 1]int
}

// New returns an Allow for retries per call and slack per window of the whole fleet.
func New(ratio, slack float64, span time.Duration) *Allow {
	return &Allow{ratio: ratio, slack: slack, bucket: span / buckets, services: map[core.ServiceName]*window{}}
}

// Call counts a caller's request for a service.
func (a *Allow) Call(now time.Time, s core.ServiceName) {
	a.mu.Lock()
	defer a.mu.Unlock()
	w, i := a.at(now, s)
	w.calls[i]++
}

// Retry takes one retry and reports whether there was one; instances is the size of the fleet.
func (a *Allow) Retry(now time.Time, s core.ServiceName, instances int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	w, i := a.at(now, s)
	if !a.left(w, instances) {
		return false
	}
	w.retries[i]++
	return true
}

// May reports whether Retry would allow a retry now.
func (a *Allow) May(now time.Time, s core.ServiceName, instances int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	w, _ := a.at(now, s)
	return a.left(w, instances)
}

func (a *Allow) left(w *window, instances int) bool {
	calls, retries := 0, 0
	for j := range w.calls {
		calls += w.calls[j]
		retries += w.retries[j]
	}
	return float64(retries+1) <= margin*(a.ratio*float64(calls)+a.slack/float64(max(instances, 1)))
}

// Force takes one retry whether there is one or not, for a call that would be lost without it.
func (a *Allow) Force(now time.Time, s core.ServiceName) {
	a.mu.Lock()
	defer a.mu.Unlock()
	w, i := a.at(now, s)
	w.retries[i]++
}

// at returns the window of a service and the index of the bucket of now, with expired buckets emptied.
func (a *Allow) at(now time.Time, s core.ServiceName) (*window, int) {
	n := now.UnixNano() / int64(a.bucket)
	w := a.services[s]
	if w == nil {
		w = &window{newest: n}
		a.services[s] = w
	}
	for step := max(w.newest+1, n-buckets); step <= n; step++ {
		i := step % (buckets + 1)
		w.calls[i], w.retries[i] = 0, 0
	}
	w.newest = max(w.newest, n)
	return w, int(w.newest % (buckets + 1))
}
