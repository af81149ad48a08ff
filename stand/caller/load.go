package caller

import (
	"net/http"
	"slices"
	"sync"
	"time"
)

// PickFunc returns the client and the address for the jth request, or a nil client while no instance is ready.
type PickFunc func(j int) (c *http.Client, address string)

// FixedAddress returns a PickFunc that always returns the given client and address.
func FixedAddress(c *http.Client, address string) PickFunc {
	return func(int) (*http.Client, string) { return c, address }
}

// Load sends streamed and non-streamed requests from concurrent clients until it is stopped; each client sends one request
// at a time.
type Load struct {
	pick      PickFunc
	clients   int
	minTokens int
	timeout   time.Duration
	pause     time.Duration
	keys      []string

	mu       sync.Mutex
	results  []Result
	wg       sync.WaitGroup
	stop     chan struct{}
	stopOnce sync.Once
}

// LoadOption changes a Load.
type LoadOption func(*Load)

// WithClients sets the number of clients (default 1).
func WithClients(n int) LoadOption { return func(l *Load) { l.clients = n } }

// WithMinOutputTokens sets the number of tokens of the shortest answers (default 10); others are up to 6 tokens longer.
func WithMinOutputTokens(n int) LoadOption { return func(l *Load) { l.minTokens = n } }

// WithTimeout sets the timeout of each request (default 20 s).
func WithTimeout(d time.Duration) LoadOption { return func(l *Load) { l.timeout = d } }

// WithPause sets the time that a client waits after each answer (default 0).
func WithPause(d time.Duration) LoadOption { return func(l *Load) { l.pause = d } }

// WithKeys sets the API keys among which the requests alternate round-robin (default fleet.UrgentKey).
func WithKeys(keys ...string) LoadOption { return func(l *Load) { l.keys = keys } }

const (
	defaultMinTokens = 10
	defaultTimeout   = 20 * time.Second
	// outputLengths is the number of different answer lengths; one in nonStreamingEvery requests is not streamed.
	outputLengths, nonStreamingEvery = 7, 3
	// pickRetryDelay is how long a client waits before it looks again for a ready instance.
	pickRetryDelay = 10 * time.Millisecond
)

// StartLoad starts the clients; Close must be called.
func StartLoad(pick PickFunc, opts ...LoadOption) *Load {
	l := &Load{pick: pick, clients: 1, minTokens: defaultMinTokens, timeout: defaultTimeout, keys: []string{""}, stop: make(chan struct{})}
	for _, o := range opts {
		o(l)
	}
	for i := range l.clients {
		l.wg.Go(func() { l.runClient(i) })
	}
	return l
}

func (l *Load) runClient(i int) {
	for j := i; ; j++ {
		select {
		case <-l.stop:
			return
		default:
		}
		q := ChatRequest{
			Key: l.keys[j%len(l.keys)], OutputTokens: l.minTokens + j%outputLengths, Mark: NewMark(),
			NonStreaming: j%nonStreamingEvery == 0, Timeout: l.timeout,
		}
		c, address := l.pick(j)
		if c == nil {
			time.Sleep(pickRetryDelay)
			continue
		}
		began := time.Now()
		a := Chat(c, address, &q)
		l.mu.Lock()
		l.results = append(l.results, Result{ChatRequest: q, Answer: a, Began: began})
		l.mu.Unlock()
		time.Sleep(l.pause)
	}
}

// Results returns the results so far.
func (l *Load) Results() Results {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.results)
}

// Stop makes the clients send no further requests; it does not wait for the open ones.
func (l *Load) Stop() { l.stopOnce.Do(func() { close(l.stop) }) }

// Close stops the clients, waits for the open requests and returns all results.
func (l *Load) Close() Results {
	l.Stop()
	l.wg.Wait()
	return l.Results()
}
