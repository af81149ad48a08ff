package runner

import (
	"context"

	"snipeshed/stand/host"
)

// answerSwaps is an injected fault: pairs of calls get each other's answers.
type answerSwaps struct {
	remaining int
	waiting   *pendingSwap // first call of a pair, until the second arrives
}

type pendingSwap struct {
	generation *generation
	partner    chan *generation
}

// SwapAnswers injects a fault: of the next n calls that open a stream, each pair gets each other's generations. The
// first call of a pair waits for the second.
func (r *Runner) SwapAnswers(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.swaps.remaining = n
}

// swapGeneration returns the generation to serve in place of g: that of the other call of the pair, or g if no swap is set.
func (r *Runner) swapGeneration(ctx context.Context, g *generation) *generation {
	r.mu.Lock()
	if r.swaps.remaining <= 0 {
		r.mu.Unlock()
		return g
	}
	r.swaps.remaining--
	first := r.swaps.waiting
	if first != nil {
		r.swaps.waiting = nil
		r.mu.Unlock()
		first.partner <- g
		return first.generation
	}
	first = &pendingSwap{generation: g, partner: make(chan *generation, 1)}
	r.swaps.waiting = first
	r.mu.Unlock()
	select {
	case g = <-first.partner:
		return g
	case <-ctx.Done():
	}
	r.mu.Lock()
	if r.swaps.waiting == first {
		r.swaps.waiting = nil
	}
	r.mu.Unlock()
	host.AbortConnection()
	return nil
}
