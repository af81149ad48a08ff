package relay

import (
	"time"

	"snipeshed/core"
	"snipeshed/wire"
)

// block takes this instance out of service because it has received a ticket that needs a newer version; g.mu is held.
//
// Applying only the part of the ticket that this version knows would put half of it in force, and serving the state before it
// would revert the ticket for these calls. So the instance refuses new calls, no longer confirms its configuration to peers and
// announces that it is leaving, which moves its pools and its relay role to others. It still forwards the ticket unchanged.
// This is final: an announcement to leave is not withdrawn within one run, so the instance must be replaced.
func (g *Gossiper) block(cause error) {
	if g.blockedErr.Load() != nil {
		return
	}
	g.blockedErr.Store(&core.Error{
		Kind: core.KindStaleState, Message: "this instance cannot apply an accepted ticket", Cause: cause,
		Remedy: "retry, another instance can serve the request; replace this instance by a newer version", Execution: core.NotExecuted, RetryAfter: time.Second,
	})
	g.leaving.Store(true)
	self := g.members.Self().ID
	g.members.RecordSelfReport(g.Clock.Now(), self, g.run, true)
	g.memberUpdates = append(g.memberUpdates, &wire.Word{Id: string(self), Run: g.run, Leaving: true})
	wake(g.pushSignal)
	close(g.blockedCh)
	g.Log.WithError(cause).Error("accepted ticket needs a newer version; this instance takes no new calls and must be replaced")
}

// Blocked returns a channel that is closed once this instance has received an accepted ticket that it cannot apply.
func (g *Gossiper) Blocked() <-chan struct{} { return g.blockedCh }

// highestTicket returns the highest ticket that this instance holds: the one in force or, if this instance is blocked, the
// last one that it can forward.
func (g *Gossiper) highestTicket() core.TicketNumber {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.highestTicketLocked()
}

func (g *Gossiper) highestTicketLocked() core.TicketNumber {
	n := g.state.Number()
	if g.blockedErr.Load() == nil {
		return n
	}
	for g.pending[n+1] != nil {
		n++
	}
	return n
}

// heldTicketsAfter returns tickets after n, in order, that this instance holds but cannot apply.
func (g *Gossiper) heldTicketsAfter(n core.TicketNumber) []*wire.Ticket {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.blockedErr.Load() == nil || n < g.state.Number() {
		return nil
	}
	var held []*wire.Ticket
	for t := g.pending[n+1]; t != nil && len(held) < maxTickets; t = g.pending[n+1] {
		held = append(held, t)
		n++
	}
	return held
}

// highestTicketOf returns the highest ticket that the sender of a digest holds.
func highestTicketOf(d *wire.Digest) core.TicketNumber {
	return core.TicketNumber(max(d.GetTicket(), d.GetHeld()))
}
