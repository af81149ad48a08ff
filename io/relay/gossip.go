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
func (g *Gossiper) gossip() {
	interval := ms(g.cfg.GetGossipIntervalMs())
	if !g.sleep(g.ctx, rand.N(interval)) {
		return
	}
	for n := 0; ; n++ {
		now := g.Clock.Now()
		g.freshness.updateQuorumContact(g.members.LivePeers())
		g.choosePartners(now, n%partnerRotationTicks == partnerRotationTicks-1)
		g.closeIdleClients(now)
		g.askRelayIfStoreContactOld(now)
		for _, p := range g.peersToAsk(now, n) {
			g.spawn(func() { _ = g.exchange(g.ctx, p) })
		}
		if !g.sleep(g.ctx, interval) {
			return
		}
	}
}

// choosePartners replaces partners that are gone, leaving or suspect, and the oldest one if rotate is set.
func (g *Gossiper) choosePartners(now time.Time, rotate bool) {
	peers := g.members.Peers(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.partners = slices.DeleteFunc(g.partners, func(p core.Peer) bool {
		return !slices.Contains(peers, p) || g.members.IsLeaving(p.ID)
	})
	if rotate && len(g.partners) > 0 && len(g.partners) < len(peers) {
		g.partners = slices.Delete(g.partners, 0, 1)
	}
	inside, outside := partnersInDomain, partnersOutsideDomain
	for _, p := range g.partners {
		if g.inOwnDomain(p) {
			inside--
		} else {
			outside--
		}
	}
	shuffle(peers)
	for _, p := range peers {
		left := &outside
		if g.inOwnDomain(p) {
			left = &inside
		}
		if *left > 0 && !slices.Contains(g.partners, p) && !g.members.IsLeaving(p.ID) {
			g.partners = append(g.partners, p)
			*left--
		}
	}
}

func (g *Gossiper) inOwnDomain(p core.Peer) bool {
	return p.FailureDomain == g.members.Self().FailureDomain
}

// peersToAsk returns the peers to exchange digests with: one partner or the parent and, if the state is close to stale, up to
// three more: two random ones and the one whose contact expires first. The parent is asked at every other tick only, so that
// random exchanges go on while no instance reaches the store.
func (g *Gossiper) peersToAsk(now time.Time, tick int) []core.Peer {
	g.mu.Lock()
	choices := [][]core.Peer{slices.Clone(g.partners)}
	g.mu.Unlock()
	if tick%2 == 0 && g.freshness.storeAge(now) > g.freshness.limit/parentAgeDivisor {
		if p, found := g.parent(now); found {
			choices[0] = []core.Peer{p}
		}
	}
	if g.freshness.age(now) > g.freshness.limit/2 {
		// In half of a fleet each contact counts, and random choices may leave out the same peer for as long as the limit.
		if p, found := g.freshness.expiresFirst(now, g.members.LivePeers()); found {
			choices = append(choices, []core.Peer{p})
		}
		// LivePeers includes suspect peers and Peers does not. A suspect peer may have recovered, and if all peers are suspect
		// there are no others to ask.
		choices = append(choices, g.members.Peers(now), g.members.LivePeers())
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
func (g *Gossiper) parent(now time.Time) (core.Peer, bool) {
	self, roots := g.members.Self(), int(g.cfg.GetRelaysPerDomain())
	ranked := g.members.Relays(now, self.FailureDomain, math.MaxInt)
	i := slices.IndexFunc(ranked, func(p core.Peer) bool { return p.ID == self.ID })
	if i < roots {
		return core.Peer{}, false // a relay, or leaving
	}
	return ranked[(i-roots)/fanOut], true
}

// askRelayIfStoreContactOld asks a relay of this failure domain if the last store contact is old although the parent was asked,
// since relays read the store themselves. If no relay answers, all become suspect, and the next instances by hash take over the
// role.
func (g *Gossiper) askRelayIfStoreContactOld(now time.Time) {
	g.mu.Lock()
	due := g.freshness.storeAge(now) > g.freshness.limit/2 && now.Sub(g.relayAskedAt) > g.freshness.limit/2
	if due {
		g.relayAskedAt = now
	}
	g.mu.Unlock()
	if !due {
		return
	}
	self := g.members.Self()
	relays := g.members.Relays(now, self.FailureDomain, int(g.cfg.GetRelaysPerDomain()))
	shuffle(relays)
	g.spawn(func() {
		for _, p := range relays {
			if p.ID != self.ID && g.exchange(g.ctx, p) == nil {
				return
			}
		}
	})
}

// exchange compares digests with a peer and fetches what this instance lacks.
func (g *Gossiper) exchange(ctx context.Context, p core.Peer) error {
	for range maxExchangeRounds {
		before, asked := g.highestTicket(), g.Clock.Now()
		var d *wire.Delta
		err := g.call(ctx, p, func(ctx context.Context, c wire.Peer) (err error) {
			d, err = c.Exchange(ctx, g.digest())
			return err
		})
		if err != nil {
			return err
		}
		g.applyDelta(d)
		g.recordAnswer(asked, d.GetDigest())
		g.mergeReach(asked, d)
		if g.highestTicket() >= highestTicketOf(d.GetDigest()) {
			return nil
		}
		if g.highestTicket() == before {
			if g.blockedErr.Load() != nil {
				return nil // the peer's snapshot cannot be applied either
			}
			if err := g.fetchSnapshot(ctx, p); err != nil || g.highestTicket() == before {
				return err
			}
		}
	}
	return nil
}

// fetchSnapshot loads the whole state of a peer that has discarded the tickets that this instance lacks.
func (g *Gossiper) fetchSnapshot(ctx context.Context, p core.Peer) error {
	var s *wire.Snapshot
	err := g.call(ctx, p, func(ctx context.Context, c wire.Peer) (err error) {
		s, err = c.State(ctx, g.digest())
		return err
	})
	if err != nil {
		return err
	}
	return g.installSnapshot(s)
}

// recordAnswer records the store contact in a peer's answer if this instance's state is at least as new as the peer's.
//
// The answer was made after the request was sent, so an age counted from the sending never makes the contact look more recent
// than it was, however long the answer took. For digests in requests there is no such bound, so they are not used.
func (g *Gossiper) recordAnswer(asked time.Time, d *wire.Digest) {
	id := core.InstanceID(d.GetFrom())
	g.recordSender(d)
	if d.GetVouchAgeMs() < 0 || uint64(g.state.Number()) < d.GetTicket() {
		return
	}
	g.freshness.recordPeerContact(id, asked)
	g.freshness.recordStoreContact(asked.Add(-time.Duration(d.GetVouchAgeMs()) * time.Millisecond))
}

func (g *Gossiper) mergeReach(asked time.Time, d *wire.Delta) {
	if len(d.GetReach()) > 0 && uint64(g.state.Number()) >= d.GetDigest().GetTicket() {
		if fleet, revision := g.members.ListedIDs(); revision == d.GetDigest().GetListRevision() {
			g.freshness.mergeReach(asked, g.members.Self().ID, fleet, d.GetReach())
		}
	}
	g.freshness.updateQuorumContact(g.members.LivePeers())
}

// deltaFor returns what the sender of a digest lacks.
func (g *Gossiper) deltaFor(d *wire.Digest) *wire.Delta {
	now := g.Clock.Now()
	out := &wire.Delta{Digest: g.digestFor(d)}
	if n := highestTicketOf(d); uint64(n) < out.GetDigest().GetTicket() {
		if ts, ok := g.state.TicketsAfter(n, maxTickets); ok {
			out.Tickets = limitSize(ts)
		}
	} else {
		out.Tickets = limitSize(g.heldTicketsAfter(n))
	}
	// Revision 0 on both sides means that neither has read the list; each then reports itself to the other.
	if d.GetListRevision() < out.GetDigest().GetListRevision() || d.GetListRevision() == 0 {
		out.Instances, out.ListSince, out.ListRevision = g.members.ChangesSince(d.GetListRevision())
	}
	out.Words = g.members.RecentReports(now, leavingRepeatTicks*ms(g.cfg.GetGossipIntervalMs()))
	if g.isReady.Load() && g.blockedErr.Load() == nil && d.GetWantReach() {
		fleet, revision := g.members.ListedIDs()
		if revision > 0 {
			out.Digest.ListRevision = revision
			out.Reach = g.freshness.encodeReach(now, g.members.Self().ID, fleet)
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
