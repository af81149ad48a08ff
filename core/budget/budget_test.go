package budget

import (
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// Guards against retries beyond the percentage and burst, and against one endpoint that uses up a team's budget.
func TestBudget(t *testing.T) {
	for _, tc := range []struct {
		name           string
		calls, retries int
		want           int
	}{
		{"burst without calls", 0, 100, 5},
		{"share of calls", 1000, 200, 5},
		{"no retries", 10, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			b := New(WithBurst(5))
			for range tc.calls {
				b.CountCall("t", "e")
			}
			n := 0
			for range tc.retries {
				if b.TakeRetry("t", "e") {
					n++
				}
			}
			is.Equal(n, tc.want) // calls add no credit to a full burst
		})
	}
	t.Run("each call earns its share back", func(t *testing.T) {
		is := is.New(t)
		b := New(WithPercent(10), WithBurst(1))
		n := 0
		for range 1000 {
			b.CountCall("t", "e")
			if b.TakeRetry("t", "e") {
				n++
			}
		}
		is.True(n >= 99 && n <= 101)
	})
	t.Run("a refused endpoint returns the team's retry", func(t *testing.T) {
		is := is.New(t)
		b := New(WithBurst(2))
		is.True(b.TakeRetry("t", "bad"))
		is.True(b.TakeRetry("u", "bad"))
		is.True(!b.TakeRetry("t", "bad"))
		is.True(b.TakeRetry("t", "good"))
		is.True(!b.TakeRetry("t", "good"))
	})
}

// Guards against lost updates: concurrent retries together must not exceed the budget.
func TestBudgetConcurrent(t *testing.T) {
	is := is.New(t)
	b := New(WithBurst(50))
	var n atomic.Int64
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 100 {
				if b.TakeRetry("t", "e") {
					n.Add(1)
				}
			}
		})
	}
	wg.Wait()
	is.Equal(n.Load(), int64(50))
}
