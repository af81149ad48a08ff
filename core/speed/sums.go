package speed

import "snipeshed/core/tally"

// sums are sums over calls.
type sums struct{ calls, time, work float64 }

func newSums(t tally.Timing) sums {
	return sums{float64(t.Calls), float64(t.Time), float64(t.Work)}
}

func (s sums) plus(t sums) sums { return sums{s.calls + t.calls, s.time + t.time, s.work + t.work} }

func (s sums) minus(t sums) sums { return sums{s.calls - t.calls, s.time - t.time, s.work - t.work} }

// slowerBy returns the sums of calls that take longer by a factor.
func (s sums) slowerBy(factor float64) sums { return sums{s.calls, s.time * factor, s.work} }

// withPrior returns the sums with priorCalls more calls that are like the mean of others.
func (s sums) withPrior(others sums) sums {
	if others.calls <= 0 {
		return s
	}
	n := priorCalls / others.calls
	return s.plus(sums{priorCalls, others.time * n, others.work * n})
}

// ratioTo returns how long the calls took, as a multiple of the time of other calls with the same work. It is closer to 1 if the calls
// are few.
func (s sums) ratioTo(others sums) float64 {
	if s.calls <= 0 || others.calls <= 0 || others.time <= 0 || others.work <= 0 {
		return 1
	}
	expected := others.time / others.work * s.work
	prior := others.time / others.calls * priorCalls
	return (s.time + prior) / (expected + prior)
}
