package relay

import (
	"context"
	"math/rand/v2"
	"slices"

	"snipeshed/core"
	"snipeshed/wire"
)

// Numbers of peers that receive a push.
const (
	pushTargetsInDomain      = 2
	pushTargetsOutsideDomain = 1
	// relayPushTargetsInDomain applies to a relay that has only a ticket number to push: the relays of all failure domains
	// learn of a ticket at the same moment, and each peer that receives the number fetches the ticket.
	relayPushTargetsInDomain = 1
)

// pushChanges pushes changes to a few peers as soon as they are known.
//
// Of a ticket it pushes only the number, in the digest: each instance receives about three pushes for a ticket, and pushing
// whole tickets would take more than half of the budget of 2 KB/s at the target rate.
func (g *Gossiper) pushChanges() {
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-g.pushSignal:
		}
		for d := g.takeUnpushed(); d != nil; d = g.takeUnpushed() {
			inside, outside := pushTargetsInDomain, pushTargetsOutsideDomain
			if len(d.GetWords()) == 0 && len(d.GetInstances()) == 0 && g.isRelay() {
				inside, outside = relayPushTargetsInDomain, 0
			}
			for _, p := range g.pushTargets(inside, outside) {
				g.spawn(func() {
					if g.push(g.ctx, p, d) == nil {
						return
					}
					// If a peer does not answer, another one is tried.
					for _, q := range g.pushTargets(pushTargetsInDomain, pushTargetsOutsideDomain) {
						if q != p && g.inOwnDomain(q) == g.inOwnDomain(p) {
							_ = g.push(g.ctx, q, d)
							return
						}
					}
				})
			}
		}
	}
}

// takeUnpushed returns the changes since the last push, or nil if there are none.
func (g *Gossiper) takeUnpushed() *wire.Delta {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := &wire.Delta{Words: g.memberUpdates}
	g.memberUpdates = nil
	n := g.highestTicketLocked()
	newTicket := n > g.pushedTicket
	g.pushedTicket = n
	if g.listChanged {
		g.listChanged = false
		d.Instances, d.ListSince, d.ListRevision = g.members.ChangesSince(g.pushedListRevision)
		g.pushedListRevision = d.GetListRevision()
	}
	if len(d.Words) == 0 && !newTicket && len(d.Instances) == 0 {
		return nil
	}
	return d
}

func (g *Gossiper) isRelay() bool {
	return g.members.IsRelay(g.Clock.Now(), int(g.cfg.GetRelaysPerDomain()))
}

// pushTargets returns random peers to push to, preferably partners, whose connections are open.
func (g *Gossiper) pushTargets(inside, outside int) []core.Peer {
	now := g.Clock.Now()
	g.mu.Lock()
	peers := slices.Clone(g.partners)
	g.mu.Unlock()
	alive := g.members.Peers(now)
	peers = slices.DeleteFunc(peers, func(p core.Peer) bool { return !slices.Contains(alive, p) })
	shuffle(peers)
	shuffle(alive)
	var targets []core.Peer
	for _, p := range append(peers, alive...) {
		left := &outside
		if g.inOwnDomain(p) {
			left = &inside
		}
		if *left > 0 && !slices.Contains(targets, p) {
			targets = append(targets, p)
			*left--
		}
	}
	return targets
}

func shuffle(peers []core.Peer) {
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
}

func (g *Gossiper) push(ctx context.Context, p core.Peer, changes *wire.Delta) error {
	d := &wire.Delta{
		Digest: g.digest(), Words: changes.GetWords(), Instances: changes.GetInstances(),
		ListSince: changes.GetListSince(), ListRevision: changes.GetListRevision(),
	}
	asked := g.Clock.Now()
	var answer *wire.Digest
	err := g.call(ctx, p, func(ctx context.Context, c wire.Peer) (err error) {
		answer, err = c.Push(ctx, d)
		return err
	})
	if err != nil {
		return err
	}
	g.recordAnswer(asked, answer)
	g.requestPull(answer)
	return nil
}
