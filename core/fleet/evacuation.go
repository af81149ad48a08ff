package fleet

import (
	"slices"
	"time"

	"snipeshed/core"
)

// SetEvacuated sets the failure domains whose endpoints get no calls. Calls that run there go on.
func (eps *Endpoints) SetEvacuated(now time.Time, domains []core.FailureDomain) {
	eps.mu.Lock()
	defer eps.mu.Unlock()
	for id, s := range eps.byID {
		if slices.Contains(eps.evacuated, s.Domain) && !slices.Contains(domains, s.Domain) {
			changed := *s
			changed.ReturnedAt = now
			eps.byID[id] = &changed
		}
	}
	eps.evacuated = domains
	eps.changedAt = now
}

// IsEvacuated reports whether the endpoints of a failure domain get no calls.
func (eps *Endpoints) IsEvacuated(domain core.FailureDomain) bool {
	eps.mu.Lock()
	defer eps.mu.Unlock()
	return slices.Contains(eps.evacuated, domain)
}
