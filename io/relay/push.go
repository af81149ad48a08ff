package relay

import (
	"context"
	"math/rand/v2"
	"slices"

	"snipeshed/core"
	"snipeshed/wire"
)

// Targets of a push (design 5.1).
const (
	pushInside  = 2
	pushOutside = 1
	// relayPushInside is for relays that have only the number of a ticket to tell: those of all failure domains hear
	// of it at the same moment, and each target then pulls the ticket.
	relayPushInside = 1
)

// pushNews tells a few peers everything new as soon as it is learned.
//
// Of a ticket it tells only the number, in the digest: each instance is told of a ticket about three times, and
// with the whole ticket in each push the tickets at the target rate took more than half of the budget of 2 KB/s.
func (r *Relay) pushNews() {
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-r.news:
		}
		for d := r.takeNews(); d != nil; d = r.takeNews() {
			inside, outside := pushInside, pushOutside
			if len(d.GetWords()) == 0 && len(d.GetInstances()) == 0 && r.isRelay() {
				inside, outside = relayPushInside, 0
			}
			for _, p := range r.targets(inside, outside) {
				r.spawn(func() {
					if r.push(r.ctx, p, d) == nil {
						return
					}
					// Another target takes the place of one that did not answer.
					for _, q := range r.targets(pushInside, pushOutside) {
						if q != p && r.inside(q) == r.inside(p) {
							_ = r.push(r.ctx, q, d)
							return
						}
					}
				})
			}
		}
	}
}

// takeNews returns what has not been pushed yet, or nil.
func (r *Relay) takeNews() *wire.Delta {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := &wire.Delta{Words: r.words}
	r.words = nil
	n := r.topLocked()
	newTicket := n > r.pushed
	r.pushed = n
	if r.listNews {
		r.listNews = false
		d.Instances, d.ListSince, d.ListRevision = r.members.Since(r.listed)
		r.listed = d.GetListRevision()
	}
	if len(d.Words) == 0 && !newTicket && len(d.Instances) == 0 {
		return nil
	}
	return d
}

func (r *Relay) isRelay() bool {
	return r.members.IsRelay(r.Clock.Now(), int(r.cfg.GetRelaysPerDomain()))
}

// targets returns random partners to push to; they are connected already.
func (r *Relay) targets(inside, outside int) []core.Peer {
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
		if r.inside(p) {
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

func (r *Relay) push(ctx context.Context, p core.Peer, news *wire.Delta) error {
	d := &wire.Delta{
		Digest: r.digest(), Words: news.GetWords(), Instances: news.GetInstances(),
		ListSince: news.GetListSince(), ListRevision: news.GetListRevision(),
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
	r.takeDigest(asked, answer)
	r.pullFrom(answer)
	return nil
}
