package gate

import (
	"context"
	"slices"
	"sync"
)

// smallBodyBytes is the size up to which a body may also take the part that is reserved for small ones, so that a few large bodies that
// arrive slowly do not hold up all calls.
const smallBodyBytes = 64 << 10

// bodyBudget bounds the total size of the request bodies in memory, those that are being read included; it is safe for concurrent use.
type bodyBudget struct {
	limit    int64
	reserved int64 // beyond limit, for small bodies

	mu      sync.Mutex
	taken   int64
	waiting []*bodyWaiter // in order of arrival
}

// bodyWaiter is a body that waits for memory.
type bodyWaiter struct {
	held, size int64
	granted    chan struct{} // closed when the body has got size bytes
}

func (w *bodyWaiter) isGranted() bool {
	select {
	case <-w.granted:
		return true
	default:
		return false
	}
}

func newBodyBudget(limit int64) *bodyBudget { return &bodyBudget{limit: limit, reserved: limit / 4} }

// grow lets a body that holds some bytes have size bytes, and reports whether they became free before ctx ended. If not, what the body
// holds is given back at once: of several bodies that end their wait together, the memory of the first then serves the others.
func (b *bodyBudget) grow(ctx context.Context, held, size int64) bool {
	w := &bodyWaiter{held: held, size: size, granted: make(chan struct{})}
	b.mu.Lock()
	b.waiting = append(b.waiting, w)
	b.grant()
	b.mu.Unlock()
	select {
	case <-w.granted:
		return true
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.isGranted() {
		return true
	}
	b.waiting = slices.DeleteFunc(b.waiting, func(o *bodyWaiter) bool { return o == w })
	b.taken -= held
	b.grant()
	return false
}

// grant gives free memory to waiting bodies in order; small ones may overtake large ones. b.mu is held.
func (b *bodyBudget) grant() {
	largeWaits := false
	b.waiting = slices.DeleteFunc(b.waiting, func(w *bodyWaiter) bool {
		isLarge := w.size > smallBodyBytes
		if isLarge && largeWaits || !b.fits(w) {
			largeWaits = largeWaits || isLarge
			return false
		}
		b.taken += w.size - w.held
		close(w.granted)
		return true
	})
}

// fits reports whether the memory for a body is free. A body that is larger than the limit is read while there is no other.
func (b *bodyBudget) fits(w *bodyWaiter) bool {
	limit := b.limit
	if w.size <= smallBodyBytes {
		limit += b.reserved
	}
	others := b.taken - w.held
	return others <= 0 || others+w.size <= limit
}

// give gives n bytes back.
func (b *bodyBudget) give(n int64) {
	if n == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.taken -= n
	b.grant()
}
