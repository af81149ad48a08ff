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

// picker chooses the endpoint with the fewest open calls, in turn among equals.
type picker struct {
	mu   sync.Mutex
	open map[core.EndpointID]int
	turn int
}

// index holds the endpoints of each service in one configuration, in the order of their ids.
type index struct {
	cfg      *core.Config
	services map[core.ServiceName][]endpoint
}

func newIndex(cfg *core.Config) *index {
	x := &index{cfg: cfg, services: map[core.ServiceName][]endpoint{}}
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
	// A configuration never changes once made, so its address identifies it.
	x := a.index.Load()
	if cfg := a.config.Config(); x == nil || x.cfg != cfg {
		x = newIndex(cfg)
		a.index.Store(x)
	}
	var list []endpoint
	for _, e := range x.services[service] {
		if !tried[e.id] && a.usable(e.id, e.address) {
			list = append(list, e)
		}
	}
	return list
}

// take counts an open call at the chosen endpoint until put is called.
func (p *picker) take(list []endpoint) (endpoint, bool) {
	if len(list) == 0 {
		return endpoint{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.turn++
	best := list[p.turn%len(list)]
	for i := range list {
		if e := list[(p.turn+i)%len(list)]; p.open[e.id] < p.open[best.id] {
			best = e
		}
	}
	p.open[best.id]++
	return best, true
}

func (p *picker) put(id core.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[id]--; p.open[id] <= 0 {
		delete(p.open, id)
	}
}
