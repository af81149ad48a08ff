package spent_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/core/spent"
)

const limit = 39 * time.Second

var start = time.Unix(1000, 0)

// TestAtLeast guards against callers at their first attempt that are taken for returning ones: they have different timeouts, the
// operator raises the route's timeout, or all of them ask for less than before.
func TestAtLeast(t *testing.T) {
	is := is.New(t)
	e := spent.New()
	is.Equal(e.AtLeast(start, "r", limit, 36*time.Second), time.Duration(0))
	is.Equal(e.AtLeast(start, "r", limit, 34*time.Second), time.Duration(0))
	back := e.AtLeast(start, "r", limit, 24*time.Second)
	is.True(back > 6*time.Second && back <= 12*time.Second)
	is.Equal(e.AtLeast(start, "r", 2*limit, 34*time.Second), time.Duration(0)) // raised
	is.Equal(e.AtLeast(start, "r", limit/2, 34*time.Second), time.Duration(0)) // lowered
	is.Equal(e.AtLeast(start, "new", limit, 33*time.Second), 150*time.Millisecond)
	later := start.Add(3 * time.Minute)
	e.AtLeast(later, "r", limit, 20*time.Second)
	is.Equal(e.AtLeast(later.Add(time.Second), "r", limit, 19*time.Second), time.Duration(0)) // shorter for all
}

// caller is a long call in the simulation of a surge.
type caller struct {
	first     time.Duration // when its first attempt arrived
	arrived   time.Duration // when the present one did
	returning bool
	late      bool // the estimate says so on arrival
}

const (
	objective = 4 * time.Second
	giveUp    = 8 * time.Second
	slots     = 100
	runTime   = 8 * time.Second
	step      = 10 * time.Millisecond
)

// surge plays a surge of long calls at a service with slots; returning callers of a minute compete with new ones. It returns how many
// callers were served within the objective, counted from their first attempts, and how many were served at all.
func surge(useEstimate bool) (inTime, served int) {
	rng := rand.New(rand.NewPCG(3, 4))
	e := spent.New()
	var waiting, away []caller
	var ends []time.Duration
	arrive := func(now time.Duration, c caller) {
		c.arrived = now
		timeout := limit - (now - c.first) - time.Duration(rng.Int64N(int64(limit/10)))
		c.late = e.AtLeast(start.Add(now), "draft", limit, timeout) >= objective && useEstimate
		waiting = append(waiting, c)
	}
	for now := time.Duration(0); now < time.Minute; now += step {
		rate := 12.0 // calls a second
		if now > 5*time.Second && now < 12*time.Second {
			rate = 26
		}
		if rng.Float64() < rate*step.Seconds() {
			arrive(now, caller{first: now})
		}
		away = keep(away, func(c caller) bool {
			if now < c.arrived {
				return true
			}
			arrive(now, caller{first: c.first, returning: true})
			return false
		})
		ends = keepTimes(ends, func(end time.Duration) bool { return end > now })
		waiting = keep(waiting, func(c caller) bool {
			if now-c.arrived < giveUp {
				return true
			}
			if !c.returning {
				c.arrived = now + 6*time.Second + time.Duration(rng.Int64N(int64(3*time.Second)))
				away = append(away, c)
			}
			return false
		})
		for len(ends) < slots && len(waiting) > 0 {
			c := take(rng, now, &waiting)
			ends = append(ends, now+runTime)
			served++
			if now-c.first <= objective {
				inTime++
			}
		}
	}
	return inTime, served
}

// take removes the call that finds the next free slot: one that seems to be in time if there is any.
func take(rng *rand.Rand, now time.Duration, waiting *[]caller) caller {
	list := *waiting
	rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	at := 0
	for i, c := range list {
		if !c.late && now-c.arrived <= objective {
			at = i
			break
		}
	}
	c := list[at]
	*waiting = append(list[:at], list[at+1:]...)
	return c
}

func keep(list []caller, cond func(caller) bool) []caller {
	var out []caller
	for _, c := range list {
		if cond(c) {
			out = append(out, c)
		}
	}
	return out
}

func keepTimes(list []time.Duration, cond func(time.Duration) bool) []time.Duration {
	var out []time.Duration
	for _, t := range list {
		if cond(t) {
			out = append(out, t)
		}
	}
	return out
}

// TestReturningCallers guards against callers that were refused in a surge of long calls and come back, and then take the place of
// those that can still be served in time.
func TestReturningCallers(t *testing.T) {
	is := is.New(t)
	before, servedBefore := surge(false)
	after, servedAfter := surge(true)
	t.Logf("in time %d without and %d with the estimate, served %d and %d", before, after, servedBefore, servedAfter)
	is.True(after > before)
	is.True(servedAfter*100 >= servedBefore*97)
}
