package relay

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"snipeshed/core"
	"snipeshed/wire"
)

// Numbers of partners inside and outside the failure domain. Partners are random peers to which an instance keeps connections
// open, because a new connection costs about as many bytes as six exchanges.
const (
	partnersInDomain      = 4
	partnersOutsideDomain = 2
	// partnerRotationTicks is the number of gossip intervals after which one partner is replaced, so that the graph of
	// partners changes and cannot stay split into two groups.
	partnerRotationTicks = 30
)

// Limits of one answer; the peer asks again for the rest.
const (
	maxTickets     = 256
	maxTicketBytes = 1 << 20
)

// leavingRepeatTicks is the number of gossip intervals for which exchanges repeat that an
// instance is leaving, for the few instances that the pushes miss.
const leavingRepeatTicks = 30

// maxExchangeRounds bounds the consecutive exchanges with one peer; it covers a lag of 16,384 tickets.
const maxExchangeRounds = 64

// gossip exchanges digests with the peers that peersToAsk returns, at each interval.
func (r *Relay) gossip() {
	interval := ms(r.cfg.GetGossipIntervalMs())
	if !r.sleep(r.ctx, rand.N(interval)) {
		return
	}
	for n := 0; ; n++ {
		now := r.Clock.Now()
		r.freshness.updateQuorumContact(r.members.LivePeers())
		r.choosePartners(now, n%partnerRotationTicks == partnerRotationTicks-1)
		r.closeIdleClients(now)
		r.askRelayIfStale(now)
		for _, p := range r.peersToAsk(now, n) {
			r.spawn(func() { _ = r.exchange(r.ctx, p) })
		}
		if !r.sleep(r.ctx, interval) {
			return
		}
	}
}

// choosePartners replaces partners that are gone, leaving or suspect, and the oldest one if rotate is set.
func (r *Relay) choosePartners(now time.Time, rotate bool) {
	peers := r.members.Peers(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partners = slices.DeleteFunc(r.partners, func(p core.Peer) bool {
		return !slices.Contains(peers, p) || r.members.IsLeaving(p.ID)
	})
	if rotate && len(r.partners) > 0 && len(r.partners) < len(peers) {
		r.partners = slices.Delete(r.partners, 0, 1)
	}
	inside, outside := partnersInDomain, partnersOutsideDomain
	for _, p := range r.partners {
		if r.inOwnDomain(p) {
			inside--
		} else {
			outside--
		}
	}
	shuffle(peers)
	for _, p := range peers {
		left := &outside
		if r.inOwnDomain(p) {
			left = &inside
		}
		if *left > 0 && !slices.Contains(r.partners, p) && !r.members.IsLeaving(p.ID) {
			r.partners = append(r.partners, p)
			*left--
		}
	}
}

func (r *Relay) inOwnDomain(p core.Peer) bool {
	return p.FailureDomain == r.members.Self().FailureDomain
}

// peersToAsk returns the peers to exchange digests with: one partner or the parent and, if the state is close to stale, up to
// two more random peers. The parent is asked at every other tick only, so that random exchanges go on while no instance
// reaches the store.
func (r *Relay) peersToAsk(now time.Time, tick int) []core.Peer {
	r.mu.Lock()
	choices := [][]core.Peer{slices.Clone(r.partners)}
	r.mu.Unlock()
	if tick%2 == 0 && r.freshness.storeAge(now) > r.freshness.limit/parentAgeDivisor {
		if p, found := r.parent(now); found {
			choices[0] = []core.Peer{p}
		}
	}
	if r.freshness.age(now) > r.freshness.limit/2 {
		// A suspect peer may have recovered, and if all peers are suspect there are no others to ask.
		choices = append(choices, r.members.Peers(now), r.members.LivePeers())
	}
	var ask []core.Peer
	for _, c := range choices {
		c = slices.DeleteFunc(slices.Clone(c), func(p core.Peer) bool { return slices.Contains(ask, p) })
		if len(c) > 0 {
			ask = append(ask, c[rand.IntN(len(c))])
		}
	}
	return ask
}

// fanOut is the number of children of an instance in the tree of its failure domain. With two relays it keeps all
// instances of a domain of 86 within two steps of a relay, and a child asks its parent every other second at most.
const fanOut = 6

// parentAgeDivisor sets when an instance asks its parent: once its last store contact is older than the freshness limit
// divided by this.
const parentAgeDivisor = 5

// parent returns the peer to ask for its store contact. The instances of a failure domain form a tree, ordered by the hash
// that chooses the relays and with the relays as roots. When all instances asked a relay instead, the relays of a fleet of 350
// instances had three times the traffic of the others.
func (r *Relay) parent(now time.Time) (core.Peer, bool) {
	self, roots := r.members.Self(), int(r.cfg.GetRelaysPerDomain())
	ranked := r.members.Relays(now, self.FailureDomain, math.MaxInt)
	i := slices.IndexFunc(ranked, func(p core.Peer) bool { return p.ID == self.ID })
	if i < roots {
		return core.Peer{}, false // a relay, or leaving
	}
	return ranked[(i-roots)/fanOut], true
}

// askRelayIfStale asks a relay of this failure domain if the last store contact is old although the parent was asked, since
// relays read the store themselves. If no relay answers, all become suspect, and the next instances by hash take over the role.
func (r *Relay) askRelayIfStale(now time.Time) {
	r.mu.Lock()
	due := r.freshness.storeAge(now) > r.freshness.limit/2 && now.Sub(r.relayAskedAt) > r.freshness.limit/2
	if due {
		r.relayAskedAt = now
	}
	r.mu.Unlock()
	if !due {
		return
	}
	self := r.members.Self()
	relays := r.members.Relays(now, self.FailureDomain, int(r.cfg.GetRelaysPerDomain()))
	shuffle(relays)
	r.spawn(func() {
		for _, p := range relays {
			if p.ID != self.ID && r.exchange(r.ctx, p) == nil {
				return
			}
		}
	})
}

// exchange compares digests with a peer and fetches what this instance lacks.
func (r *Relay) exchange(ctx context.Context, p core.Peer) error {
	for range maxExchangeRounds {
		before, asked := r.highestTicket(), r.Clock.Now()
		var d *wire.Delta
		err := r.call(ctx, p, func(ctx context.Context, c wire.Peer) (err error) {
			d, err = c.Exchange(ctx, r.digest())
			return err
		})
		if err != nil {
			return err
		}
		r.applyDelta(d)
		r.recordAnswer(asked, d.GetDigest())
		r.mergeReach(asked, d)
		if r.highestTicket() >= highestTicketOf(d.GetDigest()) {
			return nil
		}
		if r.highestTicket() == before {
			if r.blockedErr.Load() != nil {
				return nil // the peer's snapshot cannot be applied either
			}
			if err := r.fetchSnapshot(ctx, p); err != nil || r.highestTicket() == before {
				return err
			}
		}
	}
	return nil
}

// fetchSnapshot loads the whole state of a peer that has discarded the tickets that this instance lacks.
func (r *Relay) fetchSnapshot(ctx context.Context, p core.Peer) error {
	var s *wire.Snapshot
	err := r.call(ctx, p, func(ctx context.Context, c wire.Peer) (err error) {
		s, err = c.State(ctx, r.digest())
		return err
	})
	if err != nil {
		return err
	}
	return r.installSnapshot(s)
}

// recordAnswer records the store contact in a peer's answer if this instance's state is at least as new as the peer's.
//
// The answer was made after the request was sent, so an age counted from the sending never makes the contact look more recent
// than it was, however long the answer took. For digests in requests there is no such bound, so they are not used.
func (r *Relay) recordAnswer(asked time.Time, d *wire.Digest) {
	id := core.InstanceID(d.GetFrom())
	r.recordSender(d)
	if d.GetVouchAgeMs() < 0 || uint64(r.state.Number()) < d.GetTicket() {
		return
	}
	r.freshness.recordPeerContact(id, asked)
	r.freshness.recordStoreContact(asked.Add(-time.Duration(d.GetVouchAgeMs()) * time.Millisecond))
}

func (r *Relay) mergeReach(asked time.Time, d *wire.Delta) {
	if len(d.GetReach()) > 0 && uint64(r.state.Number()) >= d.GetDigest().GetTicket() {
		if fleet, revision := r.members.ListedIDs(); revision == d.GetDigest().GetListRevision() {
			r.freshness.mergeReach(asked, r.members.Self().ID, fleet, d.GetReach())
		}
	}
	r.freshness.updateQuorumContact(r.members.LivePeers())
}

// deltaFor returns what the sender of a digest lacks.
func (r *Relay) deltaFor(d *wire.Digest) *wire.Delta {
	now := r.Clock.Now()
	out := &wire.Delta{Digest: r.digestFor(d)}
	if n := highestTicketOf(d); uint64(n) < out.GetDigest().GetTicket() {
		if ts, ok := r.state.TicketsAfter(n, maxTickets); ok {
			out.Tickets = limitSize(ts)
		}
	} else {
		out.Tickets = limitSize(r.heldTicketsAfter(n))
	}
	// Revision 0 on both sides means that neither has read the list; each then reports itself to the other.
	if d.GetListRevision() < out.GetDigest().GetListRevision() || d.GetListRevision() == 0 {
		out.Instances, out.ListSince, out.ListRevision = r.members.ChangesSince(d.GetListRevision())
	}
	out.Words = r.members.RecentReports(now, leavingRepeatTicks*ms(r.cfg.GetGossipIntervalMs()))
	if r.isReady.Load() && r.blockedErr.Load() == nil && d.GetWantReach() {
		fleet, revision := r.members.ListedIDs()
		if revision > 0 {
			out.Digest.ListRevision = revision
			out.Reach = r.freshness.encodeReach(now, r.members.Self().ID, fleet)
		}
	}
	return out
}

// limitSize returns the first tickets that fit in one answer, at least one.
func limitSize(ts []*wire.Ticket) []*wire.Ticket {
	size := 0
	for i, t := range ts {
		if size += proto.Size(t); i > 0 && size > maxTicketBytes {
			return ts[:i]
		}
	}
	return ts
}
