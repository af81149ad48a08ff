package relay

import (
	"errors"

	"snipeshed/core"
	"snipeshed/core/state"
	"snipeshed/wire"
)

// maxPending bounds the tickets that wait for an earlier one.
const maxPending = 1024

// applyTickets applies tickets in order, keeps those that follow a gap as pending and reports whether a gap remains.
func (g *Gossiper) applyTickets(ts []*wire.Ticket) (gap bool, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.highestTicketLocked()
	for _, t := range ts {
		if n := core.TicketNumber(t.GetNumber()); n > g.state.Number() && len(g.pending) < maxPending {
			g.pending[n] = t
		}
	}
	err = g.applyPending()
	if g.highestTicketLocked() > before {
		wake(g.pushSignal)
	}
	return len(g.pending) > 0, err
}

// installSnapshot replaces the state with a snapshot and applies the pending tickets that follow it.
func (g *Gossiper) installSnapshot(s *wire.Snapshot) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	err := g.state.Load(s)
	if state.NeedsNewer(err) {
		g.block(err)
	}
	return errors.Join(err, g.applyPending())
}

func (g *Gossiper) applyPending() error {
	for n := range g.pending {
		if n <= g.state.Number() {
			delete(g.pending, n)
		}
	}
	for {
		n := g.state.Number() + 1
		t, found := g.pending[n]
		if !found {
			return nil
		}
		err := g.state.Apply(t)
		if state.NeedsNewer(err) {
			g.block(err) // the ticket stays pending and is forwarded
			return err
		}
		delete(g.pending, n)
		if err != nil {
			g.Log.WithError(err).WithField("ticket", n).Error("ticket cannot be applied")
			return err
		}
	}
}

// applyDelta applies the tickets, instance list and membership updates that a peer sent.
func (g *Gossiper) applyDelta(d *wire.Delta) {
	_, _ = g.applyTickets(d.GetTickets()) // applyTickets logs the error; the state is then not confirmed as current
	if d.GetInstances() != nil || d.GetListRevision() > 0 {
		g.mergeList(d.GetInstances(), d.GetListSince(), d.GetListRevision())
	}
	for _, w := range d.GetWords() {
		if w.GetId() == string(g.members.Self().ID) {
			continue
		}
		if g.members.RecordRelayedReport(g.Clock.Now(), w) {
			g.queueMemberUpdate(w)
		}
	}
}

// recordSender records what the sender of a digest reports about itself.
func (g *Gossiper) recordSender(d *wire.Digest) {
	if d.GetFrom() == "" {
		return // the request of an operator's tool, not of an instance
	}
	g.recordPeerTickets(d)
	if g.members.RecordSelfReport(g.Clock.Now(), core.InstanceID(d.GetFrom()), d.GetRun(), d.GetLeaving()) {
		g.queueMemberUpdate(&wire.Word{Id: d.GetFrom(), Run: d.GetRun(), Leaving: d.GetLeaving()})
	}
}

func (g *Gossiper) queueMemberUpdate(w *wire.Word) {
	g.mu.Lock()
	g.memberUpdates = append(g.memberUpdates, w)
	g.mu.Unlock()
	wake(g.pushSignal)
}

func (g *Gossiper) mergeList(list []*wire.Instance, since, revision uint64) {
	if g.members.Merge(list, since, revision) {
		g.mu.Lock()
		g.listChanged = true
		g.mu.Unlock()
		wake(g.pushSignal)
	}
}
