package pulse

import (
	"sync"

	"snipeshed/core"
)

// due collects who is to be told before the next datagram; it is safe for concurrent use.
type due struct {
	mu      sync.Mutex
	whole   bool // all that is known, to all
	unheard bool // those that were never heard as well
	all     bool // what has changed of the load, to all
	domains map[core.FailureDomain]bool
}

func (d *due) addWhole() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.whole = true
}

func (d *due) addUnheard() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.whole, d.unheard = true, true
}

func (d *due) add(domain core.FailureDomain, all bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.all = d.all || all
	if d.domains == nil {
		d.domains = map[core.FailureDomain]bool{}
	}
	d.domains[domain] = true
}

// told is who is to be told.
type told struct {
	whole, unheard, all bool
	domains             map[core.FailureDomain]bool
}

// take returns what was collected and begins anew.
func (d *due) take() told {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := told{whole: d.whole, unheard: d.unheard, all: d.all, domains: d.domains}
	d.domains, d.whole, d.unheard, d.all = nil, false, false, false
	return t
}
