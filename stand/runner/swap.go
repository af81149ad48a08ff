package runner

import (
	"context"

	"snipeshed/stand/host"
)

// swaps exchanges the answers of calls in pairs.
type swaps struct {
	left  int
	first *swap // waits for the second call of its pair
}

type swap struct {
	own   *generation
	other chan *generation
}

// Swap makes the next n calls that open a stream get each other's generations in pairs; the first of a pair waits for the second.
func (r *Runner) Swap(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.swaps.left = n
}

// swapped returns the generation to answer with in place of g.
func (r *Runner) swapped(ctx context.Context, g *generation) *generation {
	r.mu.Lock()
	if r.swaps.left <= 0 {
		r.mu.Unlock()
		return g
	}
	r.swaps.left--
	first := r.swaps.first
	if first != nil {
		r.swaps.first = nil
		r.mu.Unlock()
		first.other <- g
		return first.own
	}
	first = &swap{own: g, other: make(chan *generation, 1)}
	r.swaps.first = first
	r.mu.Unlock()
	select {
	case g = <-first.other:
		return g
	case <-ctx.Done():
	}
	r.mu.Lock()
	if r.swaps.first == first {
		r.swaps.first = nil
	}
	r.mu.Unlock()
	host.Cut()
	return nil
}
