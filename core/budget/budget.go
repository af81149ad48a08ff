package budget

import (
	"hash/maphash"
	"sync"

	"snipeshed/core"
)

const (
	defaultPercent = 10 // retries per 100 calls
	// defaultBurst lets a team with few calls retry after an endpoint fails several of them at once.
	defaultBurst = 10 // retries
)

const (
	shards  = 16 // each with its own lock
	percent = 100
)

// Budget limits retries per team and per endpoint to a percentage of their calls plus a burst; it is safe for concurrent use.
type Budget struct {
	retryPercent int64
	burst        int64
	seed         maphash.Seed
	shards       [shards]shard
}

type shard struct {
	mu sync.Mutex
	// creditHundredths holds the available retries per key in hundredths; a missing key has the full burst.
	creditHundredths map[string]int64
	_                [40]byte // avoids false sharing between the locks of adjacent shards
}

// Option configures a Budget.
type Option func(*Budget)

// WithPercent sets the number of retries per 100 calls.
func WithPercent(n int64) Option { return func(b *Budget) { b.retryPercent = n } }

// WithBurst sets the number of retries, at least 1, that are allowed without prior calls.
func WithBurst(n int64) Option { return func(b *Budget) { b.burst = n } }

// New returns a Budget in which every team and endpoint starts with a full burst.
func New(opts ...Option) *Budget {
	b := &Budget{retryPercent: defaultPercent, burst: defaultBurst, seed: maphash.MakeSeed()}
	for _, o := range opts {
		o(b)
	}
	// With a burst below one retry, no retry could ever be withdrawn.
	b.burst = max(b.burst, 1)
	for i := range b.shards {
		b.shards[i].creditHundredths = map[string]int64{}
	}
	return b
}

// CountCall credits the team and the endpoint for the first attempt of a call; either name may be empty.
func (b *Budget) CountCall(t core.TeamName, ep core.EndpointID) {
	b.deposit(teamKey(t), b.retryPercent)
	b.deposit(endpointKey(ep), b.retryPercent)
}

// TakeRetry takes one retry from the team and from the endpoint that failed if both have one, and reports whether it
// did.
func (b *Budget) TakeRetry(t core.TeamName, failed core.EndpointID) bool {
	if !b.withdraw(teamKey(t)) {
		return false
	}
	if !b.withdraw(endpointKey(failed)) {
		b.deposit(teamKey(t), percent)
		return false
	}
	return true
}

func teamKey(t core.TeamName) string {
	if t == "" {
		return ""
	}
	return "t/" + string(t)
}

func endpointKey(ep core.EndpointID) string {
	if ep == "" {
		return ""
	}
	return "e/" + string(ep)
}

func (b *Budget) deposit(key string, n int64) {
	if key == "" {
		return
	}
	s := b.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	// A missing entry has the full burst, so there is nothing to add.
	if left, ok := s.creditHundredths[key]; ok {
		if left += n; left >= b.burst*percent {
			delete(s.creditHundredths, key)
		} else {
			s.creditHundredths[key] = left
		}
	}
}

func (b *Budget) withdraw(key string) bool {
	if key == "" {
		return true
	}
	s := b.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	left, ok := s.creditHundredths[key]
	if !ok {
		left = b.burst * percent
	}
	if left < percent {
		return false
	}
	s.creditHundredths[key] = left - percent
	return true
}

func (b *Budget) shard(key string) *shard {
	return &b.shards[maphash.String(b.seed, key)%shards]
}
