package least

import (
	"snipeshed/core"
	"snipeshed/core/fifo"
)

// Policy is a core.Policy that serves calls in order of arrival at the endpoint with the least reported memory use.
type Policy struct{ *fifo.Fifo }

var _ core.Policy = (*Policy)(nil)

// New returns a Policy without endpoints; it takes the limits of package fifo as options.
func New(opts ...fifo.Option) *Policy {
	return &Policy{Fifo: fifo.New(append(opts, fifo.WithEndpointOrder(lessLoaded))...)}
}

// lessLoaded reports whether endpoint a is less loaded than b, by reported memory use and then by reported waiting calls.
func lessLoaded(a, b *core.RunnerInfo) bool {
	x, y := usedFraction(a), usedFraction(b)
	if x != y {
		return x < y
	}
	return a.Load.Waiting < b.Load.Waiting
}

// usedFraction returns the fraction of an endpoint's memory that it last reported as used.
func usedFraction(r *core.RunnerInfo) float64 {
	return float64(r.Load.KVUsed) / float64(max(r.KVCapacity, 1))
}
