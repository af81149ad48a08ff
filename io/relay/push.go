package relay

import (
	"context"
	"math/rand/v2"
	"slices"

	"snipeshed/core"
	"snipeshed/wire"
)

// Numbers of peers that receive a push (design 5.1).
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
// whole tickets took more than half of the budget of 2 KB/s at the target rate.
func (r *Relay) pushChanges() {
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-r.pushSignal:
		}
		for d := r.takeUnpushed(); d != nil; d = r.takeUnpushed() {
			inside, outside := pushTargetsInDomain, pushTargetsOutsideDomain
			if len(d.GetWords()) == 0 && len(d.GetInstances()) == 0 && r.isRelay() {
				inside, outside = relayPushTargetsInDomain, 0
			}
			for _, p := range r.pushTargets(inside, outside) {
				r.spawn(func() {
					if r.push(r.ctx, p, d) == nil {
						return
					}
					// If a peer does not answer, another one is tried.
					for _, q := range r.pushTargets(pushTargetsInDomain, pushTargetsOutsideDomain) {
						if q != p && r.inOwnDomain(q) == r.inOwnDomain(p) {
							_ = r.push(r.ctx, q, d)
							return
						}
					}
				})
			}
		}
	}
}

// takeUnpushed returns the changes since the last push, or nil if there are none.
func (r *Relay) takeUnpushed() *wire.Delta {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := &wire.Delta{Words: r.memberUpdates}
	r.memberUpdates = nil
	n := r.highestTicketLocked()
	newTicket := n > r.pushedTicket
	r.pushedTicket = n
	if r.listChanged {
		r.listChanged = false
		d.Instances, d.ListSince, d.ListRevision = r.members.ChangesSince(r.pushedListRevision)
		r.pushedListRevision = d.GetListRevision()
	}
	if len(d.Words) == 0 && !newTicket && len(d.Instances) == 0 {
		return nil
	}
	return d
}

func (r *Relay) isRelay() bool {
	return r.members.IsRelay(r.Clock.Now(), int(r.cfg.GetRelaysPerDomain()))
}

// pushTargets returns random peers to push to, preferably partners, whose connections are open.
func (r *Relay) pushTargets(inside, outside int) []core.Peer {
	now := r.Clock.Now()
	r.mu.Lock()
	peers := slices.Clone(r.partners)
	r.mu.Unlock()
	alive := r.members.Peers(now)
	peers = slices.DeleteFunc(peers, func(p core.Peer) bool { return !slices.Contains(alive, p) })
	shuffle(peers)
	shuffle(alive)
	var targets []core.Peer
	for _, p := range append(peers, alive...) {
		left := &outside
		if r.inOwnDomain(p) {
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

func (r *Relay) push(ctx context.Context, p core.Peer, changes *wire.Delta) error {
	d := &wire.Delta{
		Digest: r.digest(), Words: changes.GetWords(), Instances: changes.GetInstances(),
		ListSince: changes.GetListSince(), ListRevision: changes.GetListRevision(),
	}
	asked := r.Clock.Now()
	var answer *wire.Digest
	err := r.call(ctx, p, func(ctx context.Context, c wire.Peer) (err error) {
		answer, err = c.Push(ctx, d)
		return err
	})
	if err != nil {
		return err
	}
	r.recordAnswer(asked, answer)
	r.requestPull(answer)
	return nil
}
