package scale

import (
	"context"
	"fmt"
	"sync"
	"time"

	"snipeshed/core"
)

// watch records when tickets are in force at the last instance.
type watch struct {
	mu       sync.Mutex
	reached  map[*instance]core.TicketNumber
	awaited  map[core.TicketNumber]int
	last     map[core.TicketNumber]time.Time
	finished chan struct{} // closed and replaced whenever a ticket is in force everywhere
}

func newWatch() *watch {
	return &watch{
		reached: map[*instance]core.TicketNumber{}, awaited: map[core.TicketNumber]int{},
		last: map[core.TicketNumber]time.Time{}, finished: make(chan struct{}),
	}
}

func (w *watch) expect(n core.TicketNumber, instances int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.awaited[n] = instances
}

func (w *watch) inForce(i *instance, n core.TicketNumber) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for k := w.reached[i] + 1; k <= n; k++ {
		if _, expected := w.awaited[k]; !expected {
			continue
		}
		if w.awaited[k]--; w.awaited[k] == 0 {
			w.last[k] = time.Now()
			close(w.finished)
			w.finished = make(chan struct{})
		}
	}
	w.reached[i] = max(w.reached[i], n)
}

// wait returns when a ticket was in force at the last instance.
func (w *watch) wait(ctx context.Context, n core.TicketNumber) (time.Time, error) {
	for {
		w.mu.Lock()
		at, done := w.last[n]
		missing, finished := w.awaited[n], w.finished
		w.mu.Unlock()
		if done {
			return at, nil
		}
		select {
		case <-finished:
		case <-ctx.Done():
			return time.Time{}, fmt.Errorf("ticket %d is not in force at %d instances: %w", n, missing, ctx.Err())
		}
	}
}
