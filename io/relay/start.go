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
func (r *Relay) catchUpAtStart() bool {
	began := r.Clock.Now()
	for {
		asked, reported := r.Clock.Now(), r.highestPeerTicket()
		var stored bool
		var g sync.WaitGroup
		g.Go(func() { stored = r.catchUpFromStore() })
		r.readList(r.ctx)
		g.Go(func() { r.exchangeWithPeers(r.knownPeers(), startPeerCount) })
		g.Wait()
		if r.ctx.Err() != nil {
			return false
		}
		if r.blockedErr.Load() != nil {
			return true // it only forwards tickets
		}
		// A peer's store contact since the start, with a state no newer than this one, is as good as a contact of this instance.
		confirmed := stored || r.freshness.storeAge(r.Clock.Now()) <= r.Clock.Now().Sub(began)
		if confirmed && r.state.Number() >= reported {
			return true
		}
		// If none of these few peers has a state, the whole fleet is starting. If every instance then asked all others, 128
		// instances on one machine would keep each other from starting.
		if !confirmed && r.freshness.hasContactSince(asked) && r.catchUpFromQuorum() {
			return true
		}
		if n := r.highestPeerTicket(); r.state.Number() < n {
			r.Log.WithField("have", r.state.Number()).WithField("named", n).Warn("start waits for a ticket that is known to be in force")
		}
		if !r.sleep(r.ctx, jittered(ms(r.cfg.GetGossipIntervalMs()))) {
			return false
		}
	}
}

func (r *Relay) catchUpFromStore() bool {
	if err := r.loadSnapshot(r.ctx); err != nil {
		r.Log.WithError(err).Warn("snapshot cannot be read from the store")
	}
	if _, err := r.catchUp(r.ctx); err != nil {
		r.Log.WithError(err).Warn("tickets cannot be read from the store")
		return false
	}
	return true
}

// knownPeers returns the other members and the seeds in random order.
func (r *Relay) knownPeers() []core.Peer {
	peers := r.members.LivePeers()
	for _, a := range r.cfg.GetSeeds() {
		known := func(p core.Peer) bool { return p.Address == a }
		if a != r.members.Self().Address && !slices.ContainsFunc(peers, known) {
			peers = append(peers, core.Peer{Address: a})
		}
	}
	shuffle(peers)
	return peers
}

func (r *Relay) exchangeWithPeers(peers []core.Peer, limit int) {
	var g sync.WaitGroup
	for _, p := range peers[:min(limit, len(peers))] {
		g.Go(func() { _ = r.exchange(r.ctx, p) })
	}
	g.Wait()
}

// catchUpFromQuorum exchanges with every known peer and reports whether at least half of the members have a state and the state
// here includes every ticket that any peer reported.
//
// It waits for all peers, so that the state is no older than that of any peer that answers. A peer may fail after it reported
// its ticket, or report one that only this instance had in force before its restart; that ticket must then come from another
// peer or from the store.
func (r *Relay) catchUpFromQuorum() bool {
	defer r.closeIdleClients(r.Clock.Now().Add(maxAge)) // closes all connections, as no partners have been chosen yet
	began := r.Clock.Now()
	asked := map[string]bool{}
	for {
		// Answers may name more peers, which are asked in the next round.
		peers := slices.DeleteFunc(r.knownPeers(), func(p core.Peer) bool { return asked[p.Address] })
		if len(peers) == 0 || r.ctx.Err() != nil {
			return r.freshness.hasQuorumSince(began, r.members.LivePeers()) && r.state.Number() >= r.highestPeerTicket()
		}
		for _, p := range peers {
			asked[p.Address] = true
		}
		r.exchangeWithPeers(peers, len(peers))
	}
}
