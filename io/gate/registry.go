package gate

import (
	"sync"

	"snipeshed/core"
)

// registry knows the open streams of each endpoint.
type registry struct {
	mu  sync.Mutex
	all map[core.EndpointID]map[*stream]struct{}
}

func newRegistry() *registry { return &registry{all: map[core.EndpointID]map[*stream]struct{}{}} }

func (r *registry) add(id core.EndpointID, s *stream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.all[id] == nil {
		r.all[id] = map[*stream]struct{}{}
	}
	r.all[id][s] = struct{}{}
}

func (r *registry) remove(id core.EndpointID, s *stream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.all[id], s)
	if len(r.all[id]) == 0 {
		delete(r.all, id)
	}
}

// tell wakes the streams of an endpoint that leaves and returns their number.
func (r *registry) tell(id core.EndpointID) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for s := range r.all[id] {
		select {
		case s.notice <- struct{}{}:
		default:
		}
	}
	return len(r.all[id])
}
