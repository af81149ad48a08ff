package action

import (
	"slices"
	"strings"
	"sync"

	"snipeshed/core"
)

type endpoint struct {
	id      core.EndpointID
	address string
}

// picker chooses the endpoint with the fewest open calls, and round robin among equals.
type picker struct {
	mu        sync.Mutex
	openCalls map[core.EndpointID]int
	nextIndex int
}

// endpointIndex holds the endpoints of each service in one configuration, sorted by id.
type endpointIndex struct {
	cfg      *core.Config
	services map[core.ServiceName][]endpoint
}

func newEndpointIndex(cfg *core.Config) *endpointIndex {
	x := &endpointIndex{cfg: cfg, services: map[core.ServiceName][]endpoint{}}
	for id, e := range cfg.Endpoints {
		if s := core.ServiceName(e.GetService()); s != "" {
			x.services[s] = append(x.services[s], endpoint{id: id, address: e.GetAddress()})
		}
	}
	for _, list := range x.services {
		slices.SortFunc(list, func(x, y endpoint) int { return strings.Compare(string(x.id), string(y.id)) })
	}
	return x
}

// candidates returns the usable endpoints of a service without those already tried.
func (a *Action) candidates(service core.ServiceName, tried map[core.EndpointID]bool) []endpoint {
	// Configurations are immutable, so the pointer identifies one.
	x := a.endpointIndex.Load()
	if cfg := a.config.Config(); x == nil || x.cfg != cfg {
		x = newEndpointIndex(cfg)
		a.endpointIndex.Store(x)
	}
	var list []endpoint
	for _, e := range x.services[service] {
		if !tried[e.id] && a.endpointUsable(e.id, e.address) {
			list = append(list, e)
		}
	}
	return list
}

// acquire chooses an endpoint and counts an open call there until release is called.
func (p *picker) acquire(list []endpoint) (endpoint, bool) {
	if len(list) == 0 {
		return endpoint{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nextIndex++
	best := list[p.nextIndex%len(list)]
	for i := range list {
		if e := list[(p.nextIndex+i)%len(list)]; p.openCalls[e.id] < p.openCalls[best.id] {
			best = e
		}
	}
	p.openCalls[best.id]++
	return best, true
}

func (p *picker) release(id core.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.openCalls[id]--; p.openCalls[id] <= 0 {
		delete(p.openCalls, id)
	}
}
