package relay

import (
	"slices"
	"sync"

	"snipeshed/core"
	"snipeshed/wire"
)

func one(t *wire.Ticket) []*wire.Ticket { return []*wire.Ticket{t} }

// fewPeers are asked at a start with the store, in case its answer lags.
const fewPeers = 3

// catchUpAtStart takes the highest state of the store and the peers; it returns false when the Relay is closed before that.
func (r *Relay) catchUpAtStart() bool {
	began := r.Clock.Now()
	for {
		asked, named := r.Clock.Now(), r.named()
		var stored bool
		var g sync.WaitGroup
		g.Go(func() { stored = r.loadStore() })
		r.readList(r.ctx)
		g.Go(func() { r.ask(r.startPeers(), fewPeers) })
		g.Wait()
		if r.ctx.Err() != nil {
			return false
		}
		if r.blocked.Load() != nil {
			return true // it passes tickets on, but never serves
		}
		// A store contact of a peer since the start, with a state that is no newer than this one, is as good as an own one.
		vouched := stored || r.vouch.storeAge(r.Clock.Now()) <= r.Clock.Now().Sub(began)
		if vouched && r.state.Number() >= named {
			return true
		}
		// While none of the few peers has a state, the whole fleet starts. If all instances then asked all others,
		// 128 of them on one machine would keep each other from starting.
		if !vouched && r.vouch.heardSince(asked) && r.askEveryone() {
			return true
		}
		if n := r.named(); r.state.Number() < n {
			r.Log.WithField("have", r.state.Number()).WithField("named", n).Warn("start waits for a ticket that is known to be in force")
		}
		if !r.sleep(r.ctx, jittered(ms(r.cfg.GetGossipIntervalMs()))) {
			return false
		}
	}
}

func (r *Relay) loadStore() bool {
	if err := r.loadSnapshot(r.ctx); err != nil {
		r.Log.WithError(err).Warn("snapshot cannot be read")
	}
	if _, err := r.catchUp(r.ctx); err != nil {
		r.Log.WithError(err).Warn("tickets cannot be read from the store")
		return false
	}
	return true
}

// startPeers returns the known members and the seeds in random order.
func (r *Relay) startPeers() []core.Peer {
	peers := r.members.Others()
	for _, a := range r.cfg.GetSeeds() {
		known := func(p core.Peer) bool { return p.Address == a }
		if a != r.members.Self().Address && !slices.ContainsFunc(peers, known) {
			peers = append(peers, core.Peer{Address: a})
		}
	}
	shuffle(peers)
	return peers
}

func (r *Relay) ask(peers []core.Peer, limit int) {
	var g sync.WaitGroup
	for _, p := range peers[:min(limit, len(peers))] {
		g.Go(func() { _ = r.exchange(r.ctx, p) })
	}
	g.Wait()
}

// askEveryone exchanges with every known peer and reports whether half of the members answered with a state of their own
// and the state has reached every ticket that any of them named.
//
// All peers are asked before that is decided, so that the state is no older than that of any peer that answers. A peer
// may be lost after naming its ticket, or name one that only this instance had in force before it started again; that
// ticket must then come from another peer or from the store.
func (r *Relay) askEveryone() bool {
	defer r.closeUnused(r.Clock.Now().Add(longestAge)) // no partner has been chosen yet
	began := r.Clock.Now()
	asked := map[string]bool{}
	for {
		// Answers name further peers, which are asked in the next round.
		peers := slices.DeleteFunc(r.startPeers(), func(p core.Peer) bool { return asked[p.Address] })
		if len(peers) == 0 || r.ctx.Err() != nil {
			return r.vouch.reached(began, r.members.Others()) && r.state.Number() >= r.named()
		}
		for _, p := range peers {
			asked[p.Address] = true
		}
		r.ask(peers, len(peers))
	}
}
