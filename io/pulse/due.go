package pulse

import (
	"sync"

	"snipeshed/core"
)

// due collects who is to be told before the next datagram; it is safe for concurrent use.
type due struct {
	mu      sync.Mutex
	all     bool
	unheard bool // those that were never heard as well
	domains map[core.FailureDomain]bool
}

func (d *due) addAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.all = true
}

func (d *due) addUnheard() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.all, d.unheard = true, true
}

func (d *due) add(domain core.FailureDomain) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.domains == nil {
		d.domains = map[core.FailureDomain]bool{}
	}
	d.domains[domain] = true
}

// told is who is to be told.
type told struct {
	all, unheard bool
	domains      map[core.FailureDomain]bool
}

// take returns what was collected and begins anew.
func (d *due) take() told {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := told{all: d.all, unheard: d.unheard, domains: d.domains}
	d.domains, d.all, d.unheard = nil, false, false
	return t
}
