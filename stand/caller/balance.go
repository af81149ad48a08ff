package caller

import (
	"net/http"
	"sync"
	"time"

	"snipeshed/stand/fleet"
)

// checkInterval is how often a Balancer checks readiness.
const checkInterval = 20 * time.Millisecond

// Balancer picks instances in turn among those that passed their last readiness check, as the platform's balancer does.
// It does not try another instance when a request fails, so a request to an instance that just left fails at the client.
type Balancer struct {
	client *http.Client
	nodes  func() []*fleet.Node

	mu    sync.Mutex
	ready []*fleet.Node
	stop  chan struct{}
	wg    sync.WaitGroup
}

// StartBalancer checks the instances that nodes returns until Close.
func StartBalancer(c *http.Client, nodes func() []*fleet.Node) *Balancer {
	b := &Balancer{client: c, nodes: nodes, stop: make(chan struct{})}
	b.wg.Go(func() {
		for {
			b.check()
			select {
			case <-b.stop:
				return
			case <-time.After(checkInterval):
			}
		}
	})
	return b
}

func (b *Balancer) check() {
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

// Pick returns an instance that was ready, or none.
func (b *Balancer) Pick(j int) (*http.Client, string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return nil, ""
	}
	return b.client, b.ready[j%len(b.ready)].ClientAddress()
}

// Close ends the checks.
func (b *Balancer) Close() {
	close(b.stop)
	b.wg.Wait()
}
