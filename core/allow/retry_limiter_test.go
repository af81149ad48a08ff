package allow_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"snipeshed/core/allow"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// TestFleetBudget guards against a fleet whose total retries exceed the budget in some window, however calls and retries
// are distributed over its instances (scenario: callers that retry immediately, endpoints that fail part of their calls).
func TestFleetBudget(t *testing.T) {
	const (
		ratio = 0.2
		slack = 20.0
		span  = 10 * time.Second
	)
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "instances")
		limiters := make([]*allow.RetryLimiter, n)
		for i := range limiters {
			limiters[i] = allow.New(ratio, slack, span)
		}
		now := time.Unix(1_000_000, 0)
		var calls, retries []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, n-1).Draw(t, "instance")
			if rapid.Bool().Draw(t, "call") {
				limiters[i].CountCall(now, "s")
				calls = append(calls, now)
				continue
			}
			if limiters[i].TryRetry(now, "s", n) {
				retries = append(retries, now)
			}
		}
		for _, from := range retries {
			if got, most := countWithin(retries, from, span), ratio*float64(countWithin(calls, from.Add(-span), 2*span))+slack; float64(got) > most {
				t.Fatalf("%d retries in the window from %v, budget %.1f", got, from, most)
			}
		}
	})
}

func countWithin(times []time.Time, from time.Time, span time.Duration) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(from.Add(span)) {
			n++
		}
	}
	return n
}

// TestForceRetry guards against forced retries, such as moves of generations, that do not count against later retries.
func TestForceRetry(t *testing.T) {
	is := is.New(t)
	l := allow.New(0, 10, 10*time.Second)
	now := time.Unix(1000, 0)
	for range 7 {
		l.ForceRetry(now, "s")
	}
	is.True(!l.TryRetry(now, "s", 1))
	is.True(l.TryRetry(now, "other", 1))
	is.True(l.TryRetry(now.Add(11*time.Second), "s", 1)) // the window has passed
	is.True(!l.TryRetry(now, "fresh", 100))              // an equal share of the slack is less than one retry
}

// TestCanRetry guards against calls that abandon an endpoint for a retry that the budget does not allow.
func TestCanRetry(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	l := allow.New(0, 2/0.7, time.Second) // two retries in a window
	is.True(l.CanRetry(now, "s", 1))
	is.True(l.CanRetry(now, "s", 1)) // takes none
	is.True(l.TryRetry(now, "s", 1))
	is.True(l.CanRetry(now, "s", 1))
	is.True(l.TryRetry(now, "s", 1))
	is.True(!l.CanRetry(now, "s", 1))
	is.True(l.CanRetry(now.Add(2*time.Second), "s", 1))
}
