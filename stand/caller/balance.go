package caller

import (
	"net/http"
	"sync"
	"time"

	"snipeshed/stand/fleet"
)

// readyCheckInterval is the pause between the readiness checks of a Balancer.
const readyCheckInterval = 20 * time.Millisecond

// Balancer picks instances round-robin among those that passed their last readiness check, as the platform's load balancer
// does. It does not retry, so that a request to an instance that has just left fails at the client.
type Balancer struct {
	client *http.Client
	nodes  func() []*fleet.Node

	mu    sync.Mutex
	ready []*fleet.Node
	stop  chan struct{}
	wg    sync.WaitGroup
}

// StartBalancer returns a Balancer that checks the instances returned by nodes until Close.
func StartBalancer(c *http.Client, nodes func() []*fleet.Node) *Balancer {
	b := &Balancer{client: c, nodes: nodes, stop: make(chan struct{})}
	b.wg.Go(func() {
		for {
			b.checkAll()
			select {
			case <-b.stop:
				return
			case <-time.After(readyCheckInterval):
			}
		}
	})
	return b
}

func (b *Balancer) checkAll() {
	var ready []*fleet.Node
	for _, n := range b.nodes() {
		if n.Ready() {
			ready = append(ready, n)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

// Pick is a PickFunc that returns a ready instance.
func (b *Balancer) Pick(j int) (*http.Client, string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return nil, ""
	}
	return b.client, b.ready[j%len(b.ready)].ClientAddress()
}

// Close stops the checks.
func (b *Balancer) Close() {
	close(b.stop)
	b.wg.Wait()
}
