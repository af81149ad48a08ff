package bucket

import (
	"sync"
	"time"

	"snipeshed/core"
)

const (
	// defaultBytesPerSecond plus the 1,405 B/s of a configuration relay (docs/CAPACITY.md) stays below 2 KB/s.
	defaultBytesPerSecond = 600
	// defaultPollBytes is the payload of a poll in both directions (io/engine TestPollBytes); it applies until polls are
	// metered.
	defaultPollBytes = 363
	// maxSavedTime bounds the unused bytes that the bucket holds, as a time at the full rate. Several pools take turns at
	// intervals of 2 s, so a shorter time would waste bytes.
	maxSavedTime = 4 * time.Second
	// maxDebt bounds how long urgent polls can block the others.
	maxDebt = time.Minute
)

// Bucket is a token bucket that divides an instance's poll bandwidth among its pools; it is safe for concurrent use.
//
// Urgent polls are always admitted and only counted. The others are admitted while bytes are left, the most overdue
// first, so that the poll intervals of all endpoints grow by the same factor.
type Bucket struct {
	rate  float64 // bytes per second
	meter func() int64

	mu           sync.Mutex
	refilledAt   time.Time
	balance      float64 // bytes; negative after urgent polls
	meteredBytes int64
	openPolls    int64 // polls in progress
	endedPolls   int64
	// rejectedOverdue holds, per pool, the overdue value of the poll that was rejected in its current or last round.
	rejectedOverdue map[core.PoolID]float64
}

// Option configures a Bucket.
type Option func(*Bucket)

// WithRate sets the limit in bytes per second, sent and received together.
func WithRate(n int64) Option { return func(b *Bucket) { b.rate = float64(n) } }

// WithMeter sets the function that returns the total bytes of all polls so far; without it each poll counts as
// defaultPollBytes.
func WithMeter(fn func() int64) Option { return func(b *Bucket) { b.meter = fn } }

// New returns a Bucket that starts empty.
func New(opts ...Option) *Bucket {
	b := &Bucket{rate: defaultBytesPerSecond, rejectedOverdue: map[core.PoolID]float64{}}
	for _, o := range opts {
		o(b)
	}
	return b
}

// StartRound starts a new round of polls of a pool; a pool also calls it when it closes, so as not to block the others.
func (b *Bucket) StartRound(id core.PoolID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.rejectedOverdue, id)
}

// BeginUrgent admits and counts an urgent poll.
func (b *Bucket) BeginUrgent(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.openPolls++
}

// TryBegin admits a poll that can wait, unless bytes are short or another pool has a more overdue poll, and reports
// whether it did. Overdue is the time since the endpoint's last poll as a multiple of its interval; a pool asks for its
// most overdue endpoint first and ends its round at the first rejection.
func (b *Bucket) TryBegin(now time.Time, id core.PoolID, overdue float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	admitted := b.balance > float64(b.openPolls)*b.meanPollBytes()
	for _, other := range b.rejectedOverdue {
		admitted = admitted && other <= overdue
	}
	if !admitted {
		b.rejectedOverdue[id] = overdue
		return false
	}
	b.openPolls++
	return true
}

// EndPoll counts the end of a poll.
func (b *Bucket) EndPoll(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.openPolls--
	b.endedPolls++
	if b.meter == nil {
		b.balance -= defaultPollBytes
	}
}

// meanPollBytes returns the mean bytes per poll.
func (b *Bucket) meanPollBytes() float64 {
	if b.meter == nil || b.endedPolls == 0 {
		return defaultPollBytes
	}
	return float64(b.meteredBytes) / float64(b.endedPolls)
}

// refill adds the bytes for the elapsed time and subtracts the metered ones; the caller holds b.mu.
func (b *Bucket) refill(now time.Time) {
	if !b.refilledAt.IsZero() {
		b.balance += b.rate * max(now.Sub(b.refilledAt), 0).Seconds()
	}
	b.refilledAt = now
	b.balance = min(b.balance, b.rate*maxSavedTime.Seconds())
	if b.meter != nil {
		n := b.meter()
		b.balance -= float64(n - b.meteredBytes)
		b.meteredBytes = n
	}
	b.balance = max(b.balance, -b.rate*maxDebt.Seconds())
}
