package store

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"snipeshed/conf"
	"snipeshed/core"
	"snipeshed/io/link"
)

// Store is a client of the object API; it is safe for concurrent use.
type Store struct {
	core.Common
	baseURL string
	client  *http.Client
	timeout time.Duration
	breaker *breaker
	counts  callCounts

	// ctx ends when the Store is closed; requests that outlive the context of their callers use it.
	ctx    context.Context
	cancel context.CancelFunc
	mu     sync.Mutex
	closed bool
	wg     sync.WaitGroup
}

var _ core.Store = (*Store)(nil)

// New returns a client for the platform in the settings; it opens connections through l.
func New(shared core.Common, cfg *conf.Settings, l *link.Network) *Store {
	client := l.PlatformClient()
	// Following a redirect would send a write twice.
	client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	s := &Store{
		Common:  shared,
		baseURL: strings.TrimSuffix(cfg.GetPlatformUrl(), "/"),
		client:  client,
		timeout: time.Duration(cfg.GetStoreTimeoutMs()) * time.Millisecond,
		breaker: newBreaker(int(cfg.GetBreakerFailures()), time.Duration(cfg.GetBreakerRetryMs())*time.Millisecond),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Reachable reports whether a call would be sent; it is false while the circuit breaker refuses calls.
func (s *Store) Reachable() bool { return s.breaker.wouldAllow(s.Clock.Now()) }

// Counts returns the number of calls sent, by operation. Under "refused" it has the calls that the circuit breaker
// refused, and under "failed" those that failed by a timeout, a connection error or a 5xx status.
func (s *Store) Counts() map[string]int64 { return s.counts.snapshot() }

// Close cancels all calls, waits for them and closes idle connections.
func (s *Store) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.cancel()
	s.wg.Wait()
	s.client.CloseIdleConnections()
}

// spawn runs fn in a goroutine that Close waits for; it returns false, and does not run fn, if the Store is closed.
func (s *Store) spawn(fn func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.wg.Go(fn)
	return true
}
