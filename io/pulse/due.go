package pulse

import (
	"sync"

	"snipeshed/core"
)

// due collects who is to be told before the next datagram; it is safe for concurrent use.
type due struct {
	mu      sync.Mutex
	all     bool
	domains map[core.FailureDomain]bool
}

func (d *due) addAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.all = true
}

func (d *due) add(domain core.FailureDomain) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.domains == nil {
		d.domains = map[core.FailureDomain]bool{}
	}
	d.domains[domain] = true
}

// take returns what was collected and begins anew.
func (d *due) take() (domains map[core.FailureDomain]bool, all bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	domains, all = d.domains, d.all
	d.domains, d.all = nil, false
	return domains, all
}
