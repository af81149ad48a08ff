package speed

import "snipeshed/core/tally"

const (
	// priorCalls is the number of assumed calls at the speed of the other endpoints; it damps the effect of few calls.
	priorCalls = 2
	// tolerance is the ratio of two speeds up to which they count as equal. Smaller differences are within the random variation
	// of a few calls.
	tolerance = 1.25
	// minSpeed and maxSpeed bound a speed, as multiples of that of the other endpoints.
	minSpeed = 0.1
	maxSpeed = 4
	// maxSlowdown bounds the slowdown of a crowded endpoint.
	maxSlowdown = 10
)

// Table holds the estimates for the endpoints of one service.
type Table struct {
	speeds []float64
	useful []float64
}

// IsCrowded reports whether a call meets many others at an endpoint with the given slots, where calls run at once.
func IsCrowded(calls, slots int) bool { return calls > 1 && 2*calls > slots }

// New returns the estimates for endpoints with the given loads, which are those of all instances together, and slots.
func New(loads []tally.Load, slots []int) *Table {
	t := &Table{speeds: make([]float64, len(loads)), useful: make([]float64, len(loads))}
	var light, crowded sums
	for _, load := range loads {
		light, crowded = light.plus(newSums(load.Light)), crowded.plus(newSums(load.Crowded))
	}
	for i, load := range loads {
		others := light.minus(newSums(load.Light))
		slowness := newSums(load.Light).ratioTo(others)
		othersCrowded := crowded.minus(newSums(load.Crowded)).withPrior(others)
		slowdown := newSums(load.Crowded).ratioTo(othersCrowded.slowerBy(slowness))
		t.speeds[i] = min(max(1/withTolerance(slowness), minSpeed), maxSpeed)
		t.useful[i] = usefulCalls(slots[i], withTolerance(slowdown))
	}
	return t
}

// Speed returns the speed of an endpoint as a multiple of that of the others; 1 if they are about equal or if it is not known.
func (t *Table) Speed(i int) float64 { return t.speeds[i] }

// Useful returns the number of calls at once from which an endpoint only gets slower; its slots if that is not known.
func (t *Table) Useful(i int) float64 { return t.useful[i] }

// usefulCalls returns the useful concurrency of an endpoint that is slower by a factor when it is crowded.
func usefulCalls(slots int, slowdown float64) float64 {
	return max(float64(max(slots, 1))/min(max(slowdown, 1), maxSlowdown), 1)
}

// withTolerance returns a ratio that is closer to 1 by the tolerance.
func withTolerance(r float64) float64 {
	switch {
	case r > tolerance:
		return r / tolerance
	case r < 1/tolerance:
		return r * tolerance
	default:
		return 1
	}
}
