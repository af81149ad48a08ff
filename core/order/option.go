package order

import (
	"math/rand/v2"
	"time"
)

const (
	defaultReportLag   = time.Second
	defaultBackoffBase = 500 * time.Millisecond
	// defaultBackoffMax keeps an endpoint that never complies from being ordered more than about twice a minute.
	defaultBackoffMax = 30 * time.Second
	// defaultSlotRetry lets 350 waiting instances read the slots at 350 of the object API's 2,000 reads per second.
	defaultSlotRetry = time.Second
	// defaultLoadLimit is the time after which an endpoint that still reports the load of our order gets it again.
	defaultLoadLimit = 10 * time.Minute
	// promptSends is the number of accepted orders in a row that follow a deviation without backoff: the order
	// itself and one repetition after a late order of another owner.
	promptSends = 2
)

type settings struct {
	reportLag   time.Duration
	backoffBase time.Duration
	backoffMax  time.Duration
	slotRetry   time.Duration
	loadLimit   time.Duration
	random      func() float64
}

// Option changes an Order.
type Option func(*settings)

// WithReportLag sets the greatest age of the state that a report shows.
func WithReportLag(d time.Duration) Option { return func(s *settings) { s.reportLag = d } }

// WithBackoff sets the first and the longest wait after failed orders.
func WithBackoff(base, longest time.Duration) Option {
	return func(s *settings) { s.backoffBase, s.backoffMax = base, longest }
}

// WithSlotRetry sets the mean wait between two tries for a slot.
func WithSlotRetry(d time.Duration) Option { return func(s *settings) { s.slotRetry = d } }

// WithLoadLimit sets the time after which a load that has not ended is ordered again.
func WithLoadLimit(d time.Duration) Option { return func(s *settings) { s.loadLimit = d } }

// WithRandom sets the source of jitter, which returns numbers from 0 up to 1.
func WithRandom(fn func() float64) Option { return func(s *settings) { s.random = fn } }

func defaults() settings {
	return settings{
		reportLag: defaultReportLag, backoffBase: defaultBackoffBase, backoffMax: defaultBackoffMax,
		slotRetry: defaultSlotRetry, loadLimit: defaultLoadLimit, random: rand.Float64,
	}
}

// jitter returns a duration from half of d up to one and a half of it.
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
