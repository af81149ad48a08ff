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

// candidates returns the usable endpoints of a service without those already tried.
func (a *Action) candidates(service core.ServiceName, tried map[core.EndpointID]bool) []endpoint {
	var list []endpoint
	for id, e := range a.config.Config().Endpoints {
		if e.GetService() == string(service) && !tried[id] && a.usable(id, e.GetAddress()) {
			list = append(list, endpoint{id: id, address: e.GetAddress()})
		}
	}
	slices.SortFunc(list, func(x, y endpoint) int { return strings.Compare(string(x.id), string(y.id)) })
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
