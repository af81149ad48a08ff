package pulse

import (
	"hash/fnv"
	"net/netip"
	"sync"
	"time"

	"snipeshed/core"
	"snipeshed/wire"
)

// member is the last known state of another instance.
type member struct {
	core.Peer
	addrPort          netip.AddrPort // the parsed Peer.Address
	run, seq          uint64
	lastHeard         time.Time // zero until its first datagram
	configVersion     core.Version
	endpointsRevision core.Version
	storeDown         bool
	storeUp           bool
	stopping          bool
	memberCount       int
	live              bool
}

// peers is the table of the other instances; it is safe for concurrent use.
type peers struct {
	self core.Peer

	mu   sync.Mutex
	byID map[core.InstanceID]*member
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
	m.run, m.seq, m.lastHeard, m.live = d.GetRun(), d.GetSeq(), now, true
	m.configVersion, m.endpointsRevision = core.Version(d.GetRules()), core.Version(d.GetEndpoints())
	m.memberCount = int(d.GetMembers())
	m.storeUp = d.GetStoreUp()
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

// updateVersions records the versions that a live instance has announced.
func (p *peers) updateVersions(id core.InstanceID, config, endpoints core.Version) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.byID[id]; m != nil {
		m.configVersion, m.endpointsRevision = max(m.configVersion, config), max(m.endpointsRevision, endpoints)
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
	m.live = false
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
	m.live = false
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
			m.live = false
			out = append(out, id)
		}
		if !m.live && !m.lastHeard.IsZero() && now.Sub(m.lastHeard) > removeAfter {
			delete(p.byID, id)
		}
	}
	return out
}

// liveCount returns the number of live instances, this one included.
func (p *peers) liveCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 1
	for _, m := range p.byID {
		if m.live {
			n++
		}
	}
	return n
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
func (p *peers) newerPeers(configVersion, endpointsRevision core.Version) []core.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := len(p.byID) + 1
	var out []core.Peer
	for _, m := range p.byID {
		if m.live && (m.configVersion > configVersion || m.endpointsRevision > endpointsRevision || m.memberCount > known) {
			out = append(out, m.Peer)
		}
	}
	return out
}

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

// isWatcher reports whether this instance is among the first n, by hash, of the live instances that can reach the store. In
// an outage it considers all live instances, so that n of them keep trying.
func (p *peers) isWatcher(n int, selfDown, selfUp bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	outage := p.outageLocked(selfDown, selfUp)
	own, before := instanceHash(p.self.ID), 0
	for id, m := range p.byID {
		if m.live && !m.stopping && (outage || !m.storeDown) && instanceHash(id) < own {
			before++
		}
	}
	return before < n
}

// ranksFirst reports whether this instance has the lowest hash for the key among the live ones (rendezvous hashing).
func (p *peers) ranksFirst(key string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	own := instanceHash(p.self.ID + core.InstanceID("/"+key))
	for id, m := range p.byID {
		if m.live && !m.stopping && instanceHash(id+core.InstanceID("/"+key)) < own {
			return false
		}
	}
	return true
}

// instanceHash returns a hash that orders the instances identically on all of them.
func instanceHash(id core.InstanceID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // never fails
	return h.Sum64()
}
