package budget

import (
	"hash/maphash"
	"sync"

	"snipeshed/core"
)

const (
	defaultPercent = 10
	// defaultBurst lets a quiet team retry after an endpoint breaks several of its calls at once.
	defaultBurst = 10 // retries
)

const (
	shards  = 16
	percent = 100
)

// Budget limits retries per team and per endpoint to a share of their calls plus a burst; it is safe for concurrent use.
type Budget struct {
	share  int64
	burst  int64
	seed   maphash.Seed
	shards [shards]shard
}

type shard struct {
	mu sync.Mutex
	// left holds hundredths of retries.
	left map[string]int64
	_    [40]byte // keeps the locks of neighbouring shards on different cache lines
}

// Option changes a Budget.
type Option func(*Budget)

// WithPercent sets the number of retries per 100 calls.
func WithPercent(n int64) Option { return func(b *Budget) { b.share = n } }

// WithBurst sets the number of retries, at least 1, that are allowed without calls before them.
func WithBurst(n int64) Option { return func(b *Budget) { b.burst = n } }

// New returns a Budget with full bursts.
func New(opts ...Option) *Budget {
	b := &Budget{share: defaultPercent, burst: defaultBurst, seed: maphash.MakeSeed()}
	for _, o := range opts {
		o(b)
	}
	// Below one whole retry nothing could ever be withdrawn.
	b.burst = max(b.burst, 1)
	for i := range b.shards {
		b.shards[i].left = map[string]int64{}
	}
	return b
}

// Call counts a first attempt of a team's call at an endpoint; either name may be empty.
func (b *Budget) Call(t core.TeamName, ep core.EndpointID) {
	b.deposit(teamKey(t), b.share)
	b.deposit(endpointKey(ep), b.share)
}

// Retry takes one retry from the team and from the endpoint that failed, and reports whether both had one.
func (b *Budget) Retry(t core.TeamName, failed core.EndpointID) bool {
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
	// An absent entry is full.
	if left, ok := s.left[key]; ok {
		if left += n; left >= b.burst*percent {
			delete(s.left, key)
		} else {
			s.left[key] = left
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
	left, ok := s.left[key]
	if !ok {
		left = b.burst * percent
	}
	if left < percent {
		return false
	}
	s.left[key] = left - percent
	return true
}

func (b *Budget) shard(key string) *shard {
	return &b.shards[maphash.String(b.seed, key)%shards]
}
