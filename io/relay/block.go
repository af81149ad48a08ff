package relay

import (
	"time"

	"snipeshed/core"
	"snipeshed/wire"
)

// block ends this instance's part in the fleet because it has met a ticket that needs a newer version; it holds r.mu.
//
// Applying what it knows of the ticket would put half of it in force, and serving the state before it would revert the
// ticket for these calls. So the instance refuses new calls, vouches for nothing and tells peers that it leaves, which
// gives its pools and its part as a relay to others. It goes on passing the ticket on unchanged. There is no way back:
// a word that an instance leaves is never taken back within one run, and the instance must be replaced.
func (r *Relay) block(cause error) {
	if r.blocked.Load() != nil {
		return
	}
	r.blocked.Store(&core.Error{
		Kind: core.KindStaleState, Message: "this instance cannot apply an accepted ticket", Cause: cause,
		Remedy: "retry, another instance can serve the request; replace this instance by a newer version", Run: core.RunNot, RetryAfter: time.Second,
	})
	r.leaving.Store(true)
	self := r.members.Self().ID
	r.members.Hear(r.Clock.Now(), self, r.run, true)
	r.words = append(r.words, &wire.Word{Id: string(self), Run: r.run, Leaving: true})
	wake(r.news)
	close(r.halted)
	r.Log.WithError(cause).Error("accepted ticket needs a newer version; this instance takes no new calls and must be replaced")
}

// Blocked is closed once this instance has met an accepted ticket that it cannot apply.
func (r *Relay) Blocked() <-chan struct{} { return r.halted }

// top returns the highest ticket that this instance has: the one in force, or the last of those that it can only pass on.
func (r *Relay) top() core.TicketNumber {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.topLocked()
}

func (r *Relay) topLocked() core.TicketNumber {
	n := r.state.Number()
	if r.blocked.Load() == nil {
		return n
	}
	for r.pending[n+1] != nil {
		n++
	}
	return n
}

// heldAfter returns tickets after n, in order, that this instance has but cannot apply.
func (r *Relay) heldAfter(n core.TicketNumber) []*wire.Ticket {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.blocked.Load() == nil || n < r.state.Number() {
		return nil
	}
	var held []*wire.Ticket
	for t := r.pending[n+1]; t != nil && len(held) < maxTickets; t = r.pending[n+1] {
		held = append(held, t)
		n++
	}
	return held
}

// topOf returns the highest ticket that the sender of a digest has.
func topOf(d *wire.Digest) core.TicketNumber {
	return core.TicketNumber(max(d.GetTicket(), d.GetHeld()))
}
