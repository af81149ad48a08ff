package least

import (
	"snipeshed/core"
	"snipeshed/core/fifo"
)

// Least serves calls in order of arrival at the endpoint whose last report shows the least memory in use.
type Least struct{ *fifo.Fifo }

var _ core.Policy = (*Least)(nil)

// New returns a Least without endpoints; its limits are those of fifo.
func New(opts ...fifo.Option) *Least {
	return &Least{Fifo: fifo.New(append(opts, fifo.WithOrder(byReport))...)}
}

// byReport orders endpoints by reported memory in use, then by reported waiting calls.
func byReport(a, b *core.RunnerInfo) bool {
	x, y := used(a), used(b)
	if x != y {
		return x < y
	}
	return a.Load.Waiting < b.Load.Waiting
}

func used(r *core.RunnerInfo) float64 {
	return float64(r.Load.KVUsed) / float64(max(r.KVCapacity, 1))
}
