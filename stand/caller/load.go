package caller

import (
	"net/http"
	"slices"
	"sync"
	"time"
)

// Pick returns the client and the address for the jth request, or no client while no instance takes requests.
type Pick func(j int) (c *http.Client, address string)

// At returns a Pick that always takes one address.
func At(c *http.Client, address string) Pick {
	return func(int) (*http.Client, string) { return c, address }
}

// Load sends streamed and whole requests from some clients, each one after the other, until it is stopped.
type Load struct {
	pick    Pick
	clients int
	output  int
	timeout time.Duration
	pause   time.Duration
	keys    []string

	mu      sync.Mutex
	results []Result
	wg      sync.WaitGroup
	stop    chan struct{}
	once    sync.Once
}

// LoadOption changes a Load.
type LoadOption func(*Load)

// WithClients sets the number of clients (default 1).
func WithClients(n int) LoadOption { return func(l *Load) { l.clients = n } }

// WithOutput sets the shortest answer; answers are up to 6 tokens longer (default 10).
func WithOutput(n int) LoadOption { return func(l *Load) { l.output = n } }

// WithTimeout sets the deadline of each request (default 20 s).
func WithTimeout(d time.Duration) LoadOption { return func(l *Load) { l.timeout = d } }

// WithPause sets the time that a client waits after each answer (default 0).
func WithPause(d time.Duration) LoadOption { return func(l *Load) { l.pause = d } }

// WithKeys sets the keys that the requests take in turn (default fleet.UrgentKey).
func WithKeys(keys ...string) LoadOption { return func(l *Load) { l.keys = keys } }

const (
	defaultOutput  = 10
	defaultTimeout = 20 * time.Second
	// lengths is the number of different lengths of answers; every wholeEach-th answer is not streamed.
	lengths, wholeEach = 7, 3
	// pickPause is how long a client waits before it looks again for an instance.
	pickPause = 10 * time.Millisecond
)

// StartLoad starts the clients; Close must be called.
func StartLoad(pick Pick, opts ...LoadOption) *Load {
	l := &Load{pick: pick, clients: 1, output: defaultOutput, timeout: defaultTimeout, keys: []string{""}, stop: make(chan struct{})}
	for _, o := range opts {
		o(l)
	}
	for i := range l.clients {
		l.wg.Go(func() { l.client(i) })
	}
	return l
}

func (l *Load) client(i int) {
	for j := i; ; j++ {
		select {
		case <-l.stop:
			return
		default:
		}
		q := Ask{
			Key: l.keys[j%len(l.keys)], Output: l.output + j%lengths, Mark: NewMark(), Whole: j%wholeEach == 0, Timeout: l.timeout,
		}
		c, address := l.pick(j)
		if c == nil {
			time.Sleep(pickPause)
			continue
		}
		began := time.Now()
		a := Chat(c, address, &q)
		l.mu.Lock()
		l.results = append(l.results, Result{Ask: q, Answer: a, Began: began})
		l.mu.Unlock()
		time.Sleep(l.pause)
	}
}

// Results returns what has been answered so far.
func (l *Load) Results() Results {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.results)
}

// Stop lets the clients send no further requests.
func (l *Load) Stop() { l.once.Do(func() { close(l.stop) }) }

// Close stops the clients, waits for the open requests and returns all results.
func (l *Load) Close() Results {
	l.Stop()
	l.wg.Wait()
	return l.Results()
}
