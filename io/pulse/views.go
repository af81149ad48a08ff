package pulse

import (
	"hash/fnv"
	"time"

	"snipeshed/core"
)

// storeSeen reports whether a live instance has recently reached the store.
func (p *peers) storeSeen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.byID {
		if m.live && m.storeUp {
			return true
		}
	}
	return false
}

// outageReported reports whether minOutageReports other instances fail to reach the store and none reaches it.
func (p *peers) outageReported() bool { return p.outageSuspected(minOutageReports, false, false) }

// outageSuspected reports whether n instances fail to reach the store, this one included if selfDown is set, and none reaches it.
func (p *peers) outageSuspected(n int, selfDown, selfUp bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if selfUp {
		return false
	}
	down := 0
	if selfDown {
		down++
	}
	for _, m := range p.byID {
		switch {
		case !m.live:
		case m.storeUp:
			return false
		case m.storeDown:
			down++
		}
	}
	return down >= n
}

// minOutageReports is the number of instances that must fail to reach the store before it counts as down for all; in a
// small fleet half of the live instances are enough.
const minOutageReports = 4

// outage reports whether enough instances fail to reach the store and none reaches it.
func (p *peers) outage(selfDown, selfUp bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.outageLocked(selfDown, selfUp)
}

func (p *peers) outageLocked(selfDown, selfUp bool) bool {
	down, live := 0, 1
	if selfUp {
		return false
	}
	if selfDown {
		down++
	}
	for _, m := range p.byID {
		switch {
		case !m.live:
			continue
		case m.storeUp:
			return false
		case m.storeDown:
			down++
		}
		live++
	}
	return down >= min(minOutageReports, (live+1)/2)
}

// candidates returns the other live instances that may read the store.
func (p *peers) candidates(now time.Time) []core.Candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]core.Candidate, 0, len(p.byID)+1)
	for id, m := range p.byID {
		if m.live && !m.stopping {
			out = append(out, core.Candidate{
				ID: id, FailureDomain: m.FailureDomain, Down: m.storeDown, Reading: m.reading, Silence: now.Sub(m.lastHeard),
			})
		}
	}
	return out
}

// rank returns the number of live instances with a lower hash for the key than this one, but no more than limit.
func (p *peers) rank(key string, limit int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	own := instanceHash(p.self.ID + core.InstanceID("/"+key))
	n := 0
	for id, m := range p.byID {
		if n >= limit {
			break
		}
		if m.live && !m.stopping && instanceHash(id+core.InstanceID("/"+key)) < own {
			n++
		}
	}
	return n
}

// instanceHash returns a hash that orders the instances identically on all of them.
func instanceHash(id core.InstanceID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // never fails
	return h.Sum64()
}
