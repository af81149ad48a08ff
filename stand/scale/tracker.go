package scale

import (
	"context"
	"fmt"
	"sync"
	"time"

	"snipeshed/core"
)

// ticketTracker records for each expected ticket when it was in force at the last instance.
type ticketTracker struct {
	mu          sync.Mutex
	latest      map[*instance]core.TicketNumber
	pending     map[core.TicketNumber]int // number of instances at which an expected ticket is not in force yet
	completedAt map[core.TicketNumber]time.Time
	completed   chan struct{} // closed and replaced each time a ticket is in force everywhere
}

func newTicketTracker() *ticketTracker {
	return &ticketTracker{
		latest: map[*instance]core.TicketNumber{}, pending: map[core.TicketNumber]int{},
		completedAt: map[core.TicketNumber]time.Time{}, completed: make(chan struct{}),
	}
}

func (w *ticketTracker) expect(n core.TicketNumber, instances int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending[n] = instances
}

func (w *ticketTracker) recordInForce(i *instance, n core.TicketNumber) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for number := w.latest[i] + 1; number <= n; number++ {
		if _, expected := w.pending[number]; !expected {
			continue
		}
		if w.pending[number]--; w.pending[number] == 0 {
			w.completedAt[number] = time.Now()
			close(w.completed)
			w.completed = make(chan struct{})
		}
	}
	w.latest[i] = max(w.latest[i], n)
}

// wait waits until a ticket is in force everywhere and returns the time at which the last instance put it in force.
func (w *ticketTracker) wait(ctx context.Context, n core.TicketNumber) (time.Time, error) {
	for {
		w.mu.Lock()
		at, done := w.completedAt[n]
		missing, completed := w.pending[n], w.completed
		w.mu.Unlock()
		if done {
			return at, nil
		}
		select {
		case <-completed:
		case <-ctx.Done():
			return time.Time{}, fmt.Errorf("ticket %d is not in force at %d instances: %w", n, missing, ctx.Err())
		}
	}
}
