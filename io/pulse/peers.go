package pulse

import (
	"hash/fnv"
	"net/netip"
	"sync"
	"time"

	"snipeshed/core"
	"snipeshed/wire"
)

// member is what is known of another instance.
type member struct {
	core.Peer
	to        netip.AddrPort // Address, parsed
	run, seq  uint64
	heard     time.Time // zero until its first datagram
	rules     core.Version
	endpoints core.Version
	storeDown bool
	storeUp   bool
	stopping  bool
	members   int
	live      bool
}

// peers are the other instances; it is safe for concurrent use.
type peers struct {
	self core.Peer

	mu  sync.Mutex
	all map[core.InstanceID]*member
}

func newPeers(self core.Peer) *peers { return &peers{self: self, all: map[core.InstanceID]*member{}} }

// add takes an instance from a list and reports whether it is new.
func (p *peers) add(q core.Peer) bool {
	if q.ID == p.self.ID || q.Address == p.self.Address || q.Address == "" {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.all[q.ID]; m != nil {
		return false
	}
	m := &member{}
	if m.name(q) != nil {
		return false
	}
	p.all[q.ID] = m
	return true
}

// name sets who the instance is and where its datagrams go.
func (m *member) name(q core.Peer) error {
	if m.Peer == q {
		return nil
	}
	to, err := netip.ParseAddrPort(q.Address)
	if err != nil {
		return err
	}
	m.Peer, m.to = q, to
	return nil
}

// hear takes a datagram and reports whether it is news, and whether its sender was not live before.
func (p *peers) hear(now time.Time, d *wire.Pulse) (fresh, found bool) {
	id := core.InstanceID(d.GetFrom())
	if id == p.self.ID {
		return false, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.all[id]
	if m == nil {
		m = &member{}
	}
	if m.run == d.GetRun() && d.GetSeq() <= m.seq {
		return false, false
	}
	if m.name(core.Peer{ID: id, Address: d.GetAddress(), FailureDomain: core.FailureDomain(d.GetDomain())}) != nil {
		return false, false
	}
	if p.all[id] == nil {
		p.dropSeed(d.GetAddress())
		p.all[id] = m
	}
	found = !m.live
	m.run, m.seq, m.heard, m.live = d.GetRun(), d.GetSeq(), now, true
	m.rules, m.endpoints = core.Version(d.GetRules()), core.Version(d.GetEndpoints())
	m.members = int(d.GetMembers())
	m.storeUp = d.GetStoreUp()
	m.storeDown, m.stopping = d.GetStoreDown(), d.GetStopping()
	return true, found
}

// hearPartial takes a datagram that tells of load only, and reports whether it is news of a live instance.
func (p *peers) hearPartial(now time.Time, d *wire.Pulse) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.all[core.InstanceID(d.GetFrom())]
	if m == nil || !m.live || m.run != d.GetRun() || d.GetSeq() <= m.seq {
		return false
	}
	m.seq, m.heard = d.GetSeq(), now
	return true
}

// dropSeed forgets an instance that was known by its address only.
func (p *peers) dropSeed(address string) {
	for id, m := range p.all {
		if m.Address == address && m.heard.IsZero() {
			delete(p.all, id)
		}
	}
}

// lost marks instances that were not heard for a while and returns those that were live before.
func (p *peers) lost(now time.Time, after time.Duration) []core.InstanceID {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []core.InstanceID
	for id, m := range p.all {
		if m.live && now.Sub(m.heard) > after {
			m.live = false
			out = append(out, id)
		}
		if !m.live && !m.heard.IsZero() && now.Sub(m.heard) > forgetAfter {
			delete(p.all, id)
		}
	}
	return out
}

// live returns the number of live instances, this one included.
func (p *peers) live() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 1
	for _, m := range p.all {
		if m.live {
			n++
		}
	}
	return n
}

// members returns the live instances, this one included.
func (p *peers) members() []core.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := []core.Peer{p.self}
	for _, m := range p.all {
		if m.live {
			out = append(out, m.Peer)
		}
	}
	return out
}

// targets returns the addresses to which datagrams for all go; those that are not live get one only when probe is set.
func (p *peers) targets(probe bool) []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]netip.AddrPort, 0, len(p.all))
	var far []netip.AddrPort
	for _, m := range p.all {
		switch {
		case !m.live && !probe:
		case m.FailureDomain == p.self.FailureDomain:
			out = append(out, m.to) // first, as they are the likeliest to use the same endpoints
		default:
			far = append(far, m.to)
		}
	}
	return append(out, far...)
}

// near returns the addresses of the live instances of some failure domains and of the own one.
func (p *peers) near(domains map[core.FailureDomain]bool) []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []netip.AddrPort
	for _, m := range p.all {
		if m.live && (m.FailureDomain == p.self.FailureDomain || domains[m.FailureDomain]) {
			out = append(out, m.to)
		}
	}
	return out
}

// newer returns live instances that know something newer, or more instances than this one has ever heard of. One that is
// known and not live is not asked for: it has ended, and the others have yet to notice.
func (p *peers) newer(rules, endpoints core.Version) []core.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := len(p.all) + 1
	var out []core.Peer
	for _, m := range p.all {
		if m.live && (m.rules > rules || m.endpoints > endpoints || m.members > known) {
			out = append(out, m.Peer)
		}
	}
	return out
}

// outageReports is the number of instances that must fail to reach the store before it counts as down for all.
const outageReports = 4

// outage reports whether several instances fail to reach the store and none reaches it.
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
	for _, m := range p.all {
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
	return down >= min(outageReports, (live+1)/2)
}

// watches reports whether this instance is among the first n of the live instances that may reach the store; in an
// outage the first n of all keep trying.
func (p *peers) watches(n int, selfDown, selfUp bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	outage := p.outageLocked(selfDown, selfUp)
	own, before := rank(p.self.ID), 0
	for id, m := range p.all {
		if m.live && !m.stopping && (outage || !m.storeDown) && rank(id) < own {
			before++
		}
	}
	return before < n
}

// first reports whether this instance comes first of the live ones by a hash with a key.
func (p *peers) first(key string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	own := rank(p.self.ID + core.InstanceID("/"+key))
	for id, m := range p.all {
		if m.live && !m.stopping && rank(id+core.InstanceID("/"+key)) < own {
			return false
		}
	}
	return true
}

// rank orders instances in the same way at each of them.
func rank(id core.InstanceID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // never fails
	return h.Sum64()
}
