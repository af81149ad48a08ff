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

// Partners are the random peers with which an instance keeps connections open:
// a new connection costs about as many bytes as six exchanges.
const (
	partnersInside  = 4
	partnersOutside = 2
	// partnerTicks is the number of gossip intervals after which one partner is replaced, so
	// that the graph of partners changes and does not keep two groups apart.
	partnerTicks = 30
)

// Limits of one answer; the asker asks again for the rest.
const (
	maxTickets     = 256
	maxTicketBytes = 1 << 20
)

// wordTicks is the number of gossip intervals for which exchanges repeat that an
// instance leaves, for the few that the pushes miss.
const wordTicks = 30

// maxRounds bounds the answers taken from one peer in a row; it covers a lag of 16,384 tickets.
const maxRounds = 64

// gossip exchanges digests with a random peer at each interval.
func (r *Relay) gossip() {
	interval := ms(r.cfg.GetGossipIntervalMs())
	if !r.sleep(r.ctx, rand.N(interval)) {
		return
	}
	for n := 0; ; n++ {
		now := r.Clock.Now()
		r.vouch.count(r.members.Others())
		r.choosePartners(now, n%partnerTicks == partnerTicks-1)
		r.closeUnused(now)
		r.askRelay(now)
		for _, p := range r.askNow(now, n) {
			r.spawn(func() { _ = r.exchange(r.ctx, p) })
		}
		if !r.sleep(r.ctx, interval) {
			return
		}
	}
}

// choosePartners replaces partners that are gone, leaving or suspect, and the oldest one when rotate is set.
func (r *Relay) choosePartners(now time.Time, rotate bool) {
	peers := r.members.Peers(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.partners = slices.DeleteFunc(r.partners, func(p core.Peer) bool {
		return !slices.Contains(peers, p) || r.members.Leaving(p.ID)
	})
	if rotate && len(r.partners) > 0 && len(r.partners) < len(peers) {
		r.partners = slices.Delete(r.partners, 0, 1)
	}
	inside, outside := partnersInside, partnersOutside
	for _, p := range r.partners {
		if r.inside(p) {
			inside--
		} else {
			outside--
		}
	}
	shuffle(peers)
	for _, p := range peers {
		left := &outside
		if r.inside(p) {
			left = &inside
		}
		if *left > 0 && !slices.Contains(r.partners, p) && !r.members.Leaving(p.ID) {
			r.partners = append(r.partners, p)
			*left--
		}
	}
}

func (r *Relay) inside(p core.Peer) bool { return p.FailureDomain == r.members.Self().FailureDomain }

// askNow returns the peers to exchange digests with: one partner or the parent, and when little time is left until
// the state is stale also any two peers. Only every other tick is the parent's, so that random exchanges go on while
// nobody reaches the store.
func (r *Relay) askNow(now time.Time, tick int) []core.Peer {
	r.mu.Lock()
	choices := [][]core.Peer{slices.Clone(r.partners)}
	r.mu.Unlock()
	if tick%2 == 0 && r.vouch.storeAge(now) > r.vouch.limit/parentAge {
		if p, found := r.parent(now); found {
			choices[0] = []core.Peer{p}
		}
	}
	if r.vouch.age(now) > r.vouch.limit/2 {
		// A suspect peer may have come back, and with every peer suspect nobody else is left.
		choices = append(choices, r.members.Peers(now), r.members.Others())
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

// fanOut is the number of children of an instance in the tree of its failure domain. With two relays it keeps a
// domain of 86 instances within two steps of a relay, and a child asks its parent every other second at most.
const fanOut = 6

// parentAge divides the vouch limit into the age of a store contact from which on an instance asks its parent.
const parentAge = 5

// parent returns the instance to hear of the store from. The instances of a failure domain form a tree by the hash
// that chooses its relays, with the relays as roots: when all asked a relay instead, the relays of a fleet of 350 had
// three times the traffic of the others.
func (r *Relay) parent(now time.Time) (core.Peer, bool) {
	self, roots := r.members.Self(), int(r.cfg.GetRelaysPerDomain())
	ranked := r.members.Relays(now, self.FailureDomain, math.MaxInt)
	i := slices.IndexFunc(ranked, func(p core.Peer) bool { return p.ID == self.ID })
	if i < roots {
		return core.Peer{}, false // a relay, or leaving
	}
	return ranked[(i-roots)/fanOut], true
}

// askRelay asks a relay of the own failure domain when the last store contact is old although the parent was asked,
// since a relay hears of the store first. If no relay answers, all become suspect, and the next instances by hash take their role.
func (r *Relay) askRelay(now time.Time) {
	r.mu.Lock()
	due := r.vouch.storeAge(now) > r.vouch.limit/2 && now.Sub(r.askedRelay) > r.vouch.limit/2
	if due {
		r.askedRelay = now
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

// exchange compares digests with a peer and pulls what this instance lacks.
func (r *Relay) exchange(ctx context.Context, p core.Peer) error {
	for range maxRounds {
		before, asked := r.top(), r.Clock.Now()
		var d *wire.Delta
		err := r.call(ctx, p, func(ctx context.Context, c wire.Peer) (err error) {
			d, err = c.Exchange(ctx, r.digest())
			return err
		})
		if err != nil {
			return err
		}
		r.takeDelta(d)
		r.takeDigest(asked, d.GetDigest())
		r.takeReach(asked, d)
		if r.top() >= topOf(d.GetDigest()) {
			return nil
		}
		if r.top() == before {
			if r.blocked.Load() != nil {
				return nil // the whole state cannot be applied either
			}
			if err := r.takeState(ctx, p); err != nil || r.top() == before {
				return err
			}
		}
	}
	return nil
}

// takeState loads the whole state of a peer that no longer keeps the tickets that this instance lacks.
func (r *Relay) takeState(ctx context.Context, p core.Peer) error {
	var s *wire.Snapshot
	err := r.call(ctx, p, func(ctx context.Context, c wire.Peer) (err error) {
		s, err = c.State(ctx, r.digest())
		return err
	})
	if err != nil {
		return err
	}
	return r.load(s)
}

// takeDigest takes the vouching contact of a peer's answer if this instance's state is at least as new.
//
// The answer was made after the question was asked, so counting its age from
// then never makes the contact younger than it was, however long the answer was
// on its way. Digests in questions have no such bound and do not vouch.
func (r *Relay) takeDigest(asked time.Time, d *wire.Digest) {
	id := core.InstanceID(d.GetFrom())
	r.hear(d)
	if d.GetVouchAgeMs() < 0 || uint64(r.state.Number()) < d.GetTicket() {
		return
	}
	r.vouch.hear(id, asked)
	r.vouch.contact(asked.Add(-time.Duration(d.GetVouchAgeMs()) * time.Millisecond))
}

func (r *Relay) takeReach(asked time.Time, d *wire.Delta) {
	if len(d.GetReach()) > 0 && uint64(r.state.Number()) >= d.GetDigest().GetTicket() {
		if fleet, revision := r.members.Fleet(); revision == d.GetDigest().GetListRevision() {
			r.vouch.merge(asked, r.members.Self().ID, fleet, d.GetReach())
		}
	}
	r.vouch.count(r.members.Others())
}

// answer returns what the sender of a digest lacks.
func (r *Relay) answer(d *wire.Digest) *wire.Delta {
	now := r.Clock.Now()
	out := &wire.Delta{Digest: r.digestFor(d)}
	if n := topOf(d); uint64(n) < out.GetDigest().GetTicket() {
		if ts, ok := r.state.Since(n, maxTickets); ok {
			out.Tickets = cut(ts)
		}
	} else {
		out.Tickets = cut(r.heldAfter(n))
	}
	// Revision 0 on both sides means that neither has read the list; then each tells the other of itself.
	if d.GetListRevision() < out.GetDigest().GetListRevision() || d.GetListRevision() == 0 {
		out.Instances, out.ListSince, out.ListRevision = r.members.Since(d.GetListRevision())
	}
	out.Words = r.members.Words(now, wordTicks*ms(r.cfg.GetGossipIntervalMs()))
	if r.isReady.Load() && r.blocked.Load() == nil && d.GetWantReach() {
		fleet, revision := r.members.Fleet()
		if revision > 0 {
			out.Digest.ListRevision = revision
			out.Reach = r.vouch.reach(now, r.members.Self().ID, fleet)
		}
	}
	return out
}

// cut returns the first tickets that fit in one answer, at least one.
func cut(ts []*wire.Ticket) []*wire.Ticket {
	size := 0
	for i, t := range ts {
		if size += proto.Size(t); i > 0 && size > maxTicketBytes {
			return ts[:i]
		}
	}
	return ts
}
