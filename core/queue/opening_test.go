package queue

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/core/admit"
)

// TestWaitForFirstReport guards against urgent calls that are refused for overload at an instance that has just become the owner
// of a pool and has no report of its endpoints yet (load pattern: instances are replaced while calls arrive).
func TestWaitForFirstReport(t *testing.T) {
	for name, tt := range map[string]struct {
		reported time.Duration // when the first report arrives
		refused  time.Duration // when a call is refused that waited from the start and does not fit; its target is 1 s
	}{
		"at once":       {0, time.Second},
		"after a while": {600 * time.Millisecond, 1600 * time.Millisecond},
		"too late":      {time.Minute, maxOpeningTime + time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q := New(WithAdmitOptions(admit.WithRunningLimit(1)))
			q.SetRules(t0, rules())
			q.SetRunners(t0, []core.RunnerInfo{{ID: "e0"}})
			running := newCall("1", "a", "high")
			running.PreviouslyQueued = true // waits for a report for any time
			q.Offer(t0, running)
			q.Offer(t0, newCall("2", "a", "high"))
			for d := time.Duration(0); d <= tt.refused; d += 50 * time.Millisecond {
				if d == tt.reported {
					q.SetRunners(t0.Add(d), runners(1, 10_000))
				}
				is.Equal(len(q.Tick(t0.Add(d))), 0)
			}
			is.Equal(describe(q.Tick(t0.Add(tt.refused+time.Millisecond))), []string{"refuse 2 overloaded not_run"})
		})
	}
}
