package pulse

import (
	"sync"

	"snipeshed/core"
)

// pendingSends collects the requests to send until the sender takes them; it is safe for concurrent use.
type pendingSends struct {
	mu         sync.Mutex
	full       bool                        // send a full datagram to all live instances
	greet      []core.InstanceID           // send a full datagram to these
	allDomains bool                        // send the load changes to all live instances
	domains    map[core.FailureDomain]bool // send the load changes to these failure domains
	announce   bool                        // announce newer data to a few live instances
	load       bool                        // send the load changes
}

func (d *pendingSends) addFull() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = true
}

func (d *pendingSends) addGreeting(id core.InstanceID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.greet = append(d.greet, id)
}

func (d *pendingSends) addLoad(domain core.FailureDomain, allDomains bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.load = true
	d.allDomains = d.allDomains || allDomains
	if d.domains == nil {
		d.domains = map[core.FailureDomain]bool{}
	}
	d.domains[domain] = true
}

func (d *pendingSends) addAnnouncement() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.announce = true
}

// sendRequests is the set of collected requests; its fields are those of pendingSends.
type sendRequests struct {
	full, allDomains, announce, load bool
	greet                            []core.InstanceID
	domains                          map[core.FailureDomain]bool
}

// take returns the collected requests and clears them.
func (d *pendingSends) take() sendRequests {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := sendRequests{
		full: d.full, greet: d.greet, allDomains: d.allDomains, domains: d.domains, announce: d.announce, load: d.load,
	}
	d.domains, d.greet, d.full, d.allDomains, d.announce, d.load = nil, nil, false, false, false, false
	return t
}
