package relay

import (
	"slices"
	"sync"

	"snipeshed/core"
	"snipeshed/wire"
)

func oneTicket(t *wire.Ticket) []*wire.Ticket { return []*wire.Ticket{t} }

// startPeerCount is the number of peers asked at the start along with the store, whose answer may lag.
const startPeerCount = 3

// catchUpAtStart brings the state up to the highest ticket of the store and of the peers asked; it returns false if Close is
// called first.
func (g *Gossiper) catchUpAtStart() bool {
	began := g.Clock.Now()
	for {
		asked, reported := g.Clock.Now(), g.highestPeerTicket()
		var stored bool
		var wg sync.WaitGroup
		wg.Go(func() { g.Protect("reading the store", func() { stored = g.catchUpFromStore() }) })
		g.readList(g.ctx)
		wg.Go(func() { g.exchangeWithPeers(g.knownPeers(), startPeerCount) })
		wg.Wait()
		if g.ctx.Err() != nil {
			return false
		}
		if g.blockedErr.Load() != nil {
			return true // it only forwards tickets
		}
		// A peer's store contact since the start, with a state no newer than this one, is as good as a contact of this instance.
		confirmed := stored || g.freshness.storeAge(g.Clock.Now()) <= g.Clock.Now().Sub(began)
		if confirmed && g.state.Number() >= reported {
			return true
		}
		// All peers are asked only if the state is not confirmed yet and one of the few asked above has a state. If none has,
		// the whole fleet is probably starting; 128 instances on one machine that each asked all others would keep each other
		// from starting.
		if !confirmed && g.freshness.hasContactSince(asked) && g.catchUpFromQuorum() {
			return true
		}
		if n := g.highestPeerTicket(); g.state.Number() < n {
			g.Log.WithField("have", g.state.Number()).WithField("named", n).Warn("start waits for a ticket that is known to be in force")
		}
		if !g.sleep(g.ctx, jittered(ms(g.cfg.GetGossipIntervalMs()))) {
			return false
		}
	}
}

func (g *Gossiper) catchUpFromStore() bool {
	if err := g.loadSnapshot(g.ctx); err != nil {
		g.Log.WithError(err).Warn("snapshot cannot be read from the store")
	}
	if _, err := g.catchUp(g.ctx); err != nil {
		g.Log.WithError(err).Warn("tickets cannot be read from the store")
		return false
	}
	return true
}

// knownPeers returns the other members and the seeds in random order.
func (g *Gossiper) knownPeers() []core.Peer {
	peers := g.members.LivePeers()
	for _, a := range g.cfg.GetSeeds() {
		known := func(p core.Peer) bool { return p.Address == a }
		if a != g.members.Self().Address && !slices.ContainsFunc(peers, known) {
			peers = append(peers, core.Peer{Address: a})
		}
	}
	shuffle(peers)
	return peers
}

func (g *Gossiper) exchangeWithPeers(peers []core.Peer, limit int) {
	var wg sync.WaitGroup
	for _, p := range peers[:min(limit, len(peers))] {
		wg.Go(func() { g.Protect("an exchange with a peer", func() { _ = g.exchange(g.ctx, p) }) })
	}
	wg.Wait()
}

// catchUpFromQuorum exchanges with every known peer and reports whether at least half of the members have a state and the state
// here includes every ticket that any peer reported.
//
// It waits for all peers, so that the state is no older than that of any peer that answers. A peer may fail after it reported
// its ticket, or report one that only this instance had in force before its restart; that ticket must then come from another
// peer or from the store.
func (g *Gossiper) catchUpFromQuorum() bool {
	defer g.closeIdleClients(g.Clock.Now().Add(maxAge)) // closes all connections, as no partners have been chosen yet
	began := g.Clock.Now()
	asked := map[string]bool{}
	for {
		// Answers may name more peers, which are asked in the next round.
		peers := slices.DeleteFunc(g.knownPeers(), func(p core.Peer) bool { return asked[p.Address] })
		if len(peers) == 0 || g.ctx.Err() != nil {
			return g.freshness.hasQuorumSince(began, g.members.LivePeers()) && g.state.Number() >= g.highestPeerTicket()
		}
		for _, p := range peers {
			asked[p.Address] = true
		}
		g.exchangeWithPeers(peers, len(peers))
	}
}
