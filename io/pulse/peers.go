package pulse

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"snipeshed/core"
	"snipeshed/wire"
)

// member is the last known state of another instance.
type member struct {
	core.Peer
	announcedNews
	addrPort  netip.AddrPort // the parsed Peer.Address
	run, seq  uint64
	lastHeard time.Time // zero until its first datagram
	storeDown bool
	storeUp   bool
	reading   bool // follows the changes of the store
	stopping  bool
	live      bool // changed by setLive only
}

// peers is the table of the other instances; it is safe for concurrent use.
type peers struct {
	self core.Peer

	mu   sync.Mutex
	byID map[core.InstanceID]*member
	// live is the number of members that are live. It is kept up to date, as it is needed for each datagram.
	live atomic.Int64
	// newest is at least what any live member has announced.
	newest announcedNews
	// era is that of this instance's endpoint list when newer peers were last asked for.
	era atomic.Uint64
}

// announcedNews is what instances announce about their data.
type announcedNews struct {
	configVersion     core.Version
	endpointsRevision core.Revision
	memberCount       int
}

// raise raises each value to that of m.
func (a *announcedNews) raise(m announcedNews) {
	a.configVersion = max(a.configVersion, m.configVersion)
	a.endpointsRevision = core.LaterRevision(a.endpointsRevision, m.endpointsRevision)
	a.memberCount = max(a.memberCount, m.memberCount)
}

// exceeds reports whether one of the values is higher than that of b.
func (a *announcedNews) exceeds(b announcedNews) bool {
	return a.configVersion > b.configVersion || a.endpointsRevision.After(b.endpointsRevision) || a.memberCount > b.memberCount
}

func newPeers(self core.Peer) *peers { return &peers{self: self, byID: map[core.InstanceID]*member{}} }

// add adds an instance, which counts as live only after its first datagram, and reports whether it was unknown.
func (p *peers) add(q core.Peer) bool {
	if q.ID == p.self.ID || q.Address == p.self.Address || q.Address == "" {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.byID[q.ID]; m != nil {
		return false
	}
	m := &member{}
	if m.setPeer(q) != nil {
		return false
	}
	p.byID[q.ID] = m
	return true
}

// setPeer sets the identity and the datagram address of the instance.
func (m *member) setPeer(q core.Peer) error {
	if m.Peer == q {
		return nil
	}
	to, err := netip.ParseAddrPort(q.Address)
	if err != nil {
		return err
	}
	m.Peer, m.addrPort = q, to
	return nil
}

// applyFull applies a full datagram. It reports whether the datagram is newer than those applied before, and whether the
// sender was not live until now.
func (p *peers) applyFull(now time.Time, d *wire.Pulse) (isLatest, becameLive bool) {
	id := core.InstanceID(d.GetFrom())
	if id == p.self.ID {
		return false, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.byID[id]
	if m == nil {
		m = &member{}
	}
	if m.run == d.GetRun() && d.GetSeq() <= m.seq {
		return false, false
	}
	if m.setPeer(core.Peer{ID: id, Address: d.GetAddress(), FailureDomain: core.FailureDomain(d.GetDomain())}) != nil {
		return false, false
	}
	if p.byID[id] == nil {
		p.removeSeed(d.GetAddress())
		p.byID[id] = m
	}
	becameLive = !m.live
	m.run, m.seq, m.lastHeard = d.GetRun(), d.GetSeq(), now
	p.setLive(m, true)
	m.announcedNews = announcedNews{core.Version(d.GetRules()), p.endpointsRevision(d), int(d.GetMembers())}
	p.newest.raise(m.announcedNews)
	m.storeUp = d.GetStoreUp()
	m.reading = d.GetStoreUp() && !d.GetStandby() // older versions don't set standby
	m.storeDown, m.stopping = d.GetStoreDown(), d.GetStopping()
	return true, becameLive
}

// applyPartial applies a partial datagram, which holds only load. It reports whether the sender is live and the datagram is newer
// than those applied before.
func (p *peers) applyPartial(now time.Time, d *wire.Pulse) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.byID[core.InstanceID(d.GetFrom())]
	if m == nil || !m.live || m.run != d.GetRun() || d.GetSeq() <= m.seq {
		return false
	}
	m.seq, m.lastHeard = d.GetSeq(), now
	return true
}

// endpointsRevision returns the revision of the sender's endpoint list. Instances of older versions name no era; theirs counts as the one
// of this instance's list.
func (p *peers) endpointsRevision(d *wire.Pulse) core.Revision {
	r := core.Revision{Era: core.Era(d.GetEndpointsEra()), Number: core.Version(d.GetEndpoints())}
	return r.OrEra(core.Era(p.era.Load()))
}

// updateVersions records the versions that a live instance has announced.
func (p *peers) updateVersions(id core.InstanceID, config core.Version, endpoints core.Revision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.byID[id]; m != nil {
		m.raise(announcedNews{configVersion: config, endpointsRevision: endpoints})
		p.newest.raise(m.announcedNews)
	}
}

// removeSeed removes the entry of an instance that was known only by its address.
func (p *peers) removeSeed(address string) {
	for id, m := range p.byID {
		if m.Address == address && m.lastHeard.IsZero() {
			delete(p.byID, id)
		}
	}
}

// extend lets the live instances count as heard from for longer, after a pause of this instance.
func (p *peers) extend(by time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.byID {
		if m.live {
			m.lastHeard = m.lastHeard.Add(by)
		}
	}
}

// lastHeard returns when each live instance was last heard from.
func (p *peers) lastHeard() map[core.InstanceID]time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[core.InstanceID]time.Time, len(p.byID))
	for id, m := range p.byID {
		if m.live {
			out[id] = m.lastHeard
		}
	}
	return out
}

// addresses returns the datagram addresses of the given instances.
func (p *peers) addresses(ids []core.InstanceID) []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]netip.AddrPort, 0, len(ids))
	for _, id := range ids {
		if m := p.byID[id]; m != nil {
			out = append(out, m.addrPort)
		}
	}
	return out
}

// markLost marks a live instance as not live and returns its run; it does nothing to one that is not live.
func (p *peers) markLost(id core.InstanceID) (run uint64, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.byID[id]
	if m == nil || !m.live {
		return 0, false
	}
	p.setLive(m, false)
	return m.run, true
}

// confirmLost marks an instance as not live on the report of another one, unless it has started anew or was heard from after
// the given time. It reports whether it did.
func (p *peers) confirmLost(id core.InstanceID, run uint64, heardAfter time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.byID[id]
	if m == nil || !m.live || m.run != run || m.lastHeard.After(heardAfter) {
		return false
	}
	p.setLive(m, false)
	return true
}

// expireSilent marks the instances that have been silent for longer than after as not live and returns them. It removes
// those that have been silent for longer than removeAfter.
func (p *peers) expireSilent(now time.Time, after time.Duration) []core.InstanceID {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []core.InstanceID
	for id, m := range p.byID {
		if m.live && now.Sub(m.lastHeard) > after {
			p.setLive(m, false)
			out = append(out, id)
		}
		if !m.live && !m.lastHeard.IsZero() && now.Sub(m.lastHeard) > removeAfter {
			delete(p.byID, id)
		}
	}
	return out
}

// liveCount returns the number of live instances, this one included.
func (p *peers) liveCount() int { return int(p.live.Load()) + 1 }

// setLive marks an instance as live or not; p.mu is held.
func (p *peers) setLive(m *member, live bool) {
	if m.live == live {
		return
	}
	m.live = live
	if live {
		p.live.Add(1)
	} else {
		p.live.Add(-1)
	}
}

// knownCount returns the number of other instances, live or not.
func (p *peers) knownCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.byID)
}

// liveMembers returns the live instances, this one included.
func (p *peers) liveMembers() []core.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := []core.Peer{p.self}
	for _, m := range p.byID {
		if m.live {
			out = append(out, m.Peer)
		}
	}
	return out
}

// recipients returns the addresses of the live instances, and also of those that are not live when probe is set.
func (p *peers) recipients(probe bool) []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]netip.AddrPort, 0, len(p.byID))
	var otherDomains []netip.AddrPort
	for _, m := range p.byID {
		switch {
		case !m.live && !probe:
		case m.FailureDomain == p.self.FailureDomain:
			out = append(out, m.addrPort) // sent first, as they are the most likely to use the same endpoints
		default:
			otherDomains = append(otherDomains, m.addrPort)
		}
	}
	return append(out, otherDomains...)
}

// recipientsIn returns the addresses of the live instances in the given failure domains and in this instance's own.
func (p *peers) recipientsIn(domains map[core.FailureDomain]bool) []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []netip.AddrPort
	for _, m := range p.byID {
		if m.live && (m.FailureDomain == p.self.FailureDomain || domains[m.FailureDomain]) {
			out = append(out, m.addrPort)
		}
	}
	return out
}

// newerPeers returns the live instances that have a newer configuration or endpoint list, or that count more members than this
// one has entries. Entries that are not live are included in that number: such an instance has ended, and others may still
// count it.
func (p *peers) newerPeers(configVersion core.Version, endpointsRevision core.Revision) []core.Peer {
	p.era.Store(uint64(endpointsRevision.Era))
	p.mu.Lock()
	defer p.mu.Unlock()
	own := announcedNews{configVersion, endpointsRevision, len(p.byID) + 1}
	if !p.newest.exceeds(own) {
		return nil // without a look at each member, as this is asked for each datagram
	}
	p.newest = announcedNews{}
	var out []core.Peer
	for _, m := range p.byID {
		if !m.live {
			continue
		}
		p.newest.raise(m.announcedNews)
		if m.exceeds(own) {
			out = append(out, m.Peer)
		}
	}
	return out
}
