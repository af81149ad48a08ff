package order

import (
	"math/rand/v2"
	"time"
)

const (
	defaultReportLag   = time.Second
	defaultBackoffBase = 500 * time.Millisecond
	// defaultBackoffMax limits the orders to an endpoint that never reaches the wanted state to about two a minute.
	defaultBackoffMax = 30 * time.Second
	// defaultSlotRetry limits 350 instances that wait for a slot to 350 reads per second in total; the object API allows 2,000.
	defaultSlotRetry = time.Second
	// defaultLoadTimeout is the time after which an endpoint that still reports that it is loading gets the order again.
	defaultLoadTimeout = 10 * time.Minute
	// immediateSends is the number of accepted orders in a row that are sent without backoff while the endpoint deviates:
	// the order itself and one repetition in case a delayed order of another owner replaced it.
	immediateSends = 2
)

type settings struct {
	reportLag   time.Duration
	backoffBase time.Duration
	backoffMax  time.Duration
	slotRetry   time.Duration
	loadTimeout time.Duration
	random      func() float64
}

// Option configures an Order.
type Option func(*settings)

// WithReportLag sets how old the state in a report can be at most.
func WithReportLag(d time.Duration) Option { return func(s *settings) { s.reportLag = d } }

// WithBackoff sets the first and the longest wait after failed orders.
func WithBackoff(base, longest time.Duration) Option {
	return func(s *settings) { s.backoffBase, s.backoffMax = base, longest }
}

// WithSlotRetry sets the mean wait between two attempts to acquire a slot.
func WithSlotRetry(d time.Duration) Option { return func(s *settings) { s.slotRetry = d } }

// WithLoadTimeout sets the time after which an unfinished load is ordered again.
func WithLoadTimeout(d time.Duration) Option { return func(s *settings) { s.loadTimeout = d } }

// WithRandom sets the random source of the jitter, which returns numbers in [0, 1).
func WithRandom(fn func() float64) Option { return func(s *settings) { s.random = fn } }

func defaultSettings() settings {
	return settings{
		reportLag: defaultReportLag, backoffBase: defaultBackoffBase, backoffMax: defaultBackoffMax,
		slotRetry: defaultSlotRetry, loadTimeout: defaultLoadTimeout, random: rand.Float64,
	}
}

// jitter returns a random duration between 0.5 and 1.5 times d.
func (s *settings) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(s.random()*float64(d))
}

// backoff returns the wait after the nth failure in a row.
func (s *settings) backoff(n int) time.Duration {
	d := s.backoffBase
	for ; n > 1 && d < s.backoffMax; n-- {
		d *= 2
	}
	return s.jitter(min(d, s.backoffMax))
}
