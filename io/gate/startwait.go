package gate

import "time"

const (
	// startWaitShare is the share of the caller's timeout for which a call waits at an instance that has just started and has no
	// configuration or no endpoints yet. The wait is at most maxStartWait.
	startWaitShare = 0.25
	maxStartWait   = time.Second
	// startRetryShare is the retry delay, as a share of the caller's timeout, of an instance that still has none then. Callers
	// wait for at most a third of their timeout and retry once.
	startRetryShare    = 0.22
	maxStartRetryAfter = 3 * time.Second
)

// awaitLoaded waits until the instance has a configuration and endpoints, and reports whether it has. A call that is refused
// returns after seconds, though the instance is ready within one. While the store is known not to answer, it does not wait.
func (c *call) awaitLoaded() bool {
	if c.g.News.Loaded() {
		return true
	}
	if !c.g.MayLoad() {
		return false
	}
	t := time.NewTimer(min(time.Duration(startWaitShare*float64(c.Deadline)), maxStartWait))
	defer t.Stop()
	select {
	case <-c.g.News.AwaitLoaded():
	case <-c.r.Context().Done():
	case <-t.C:
	}
	return c.g.News.Loaded()
}

// startRetryAfter returns the retry delay for a caller of an instance that has no configuration yet.
func (c *call) startRetryAfter() time.Duration {
	return min(max(time.Duration(startRetryShare*float64(c.Deadline)), busyRetryAfter/2), maxStartRetryAfter)
}
