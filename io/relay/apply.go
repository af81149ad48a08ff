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
func (r *Relay) applyTickets(ts []*wire.Ticket) (gap bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.highestTicketLocked()
	for _, t := range ts {
		if n := core.TicketNumber(t.GetNumber()); n > r.state.Number() && len(r.pending) < maxPending {
			r.pending[n] = t
		}
	}
	err = r.applyPending()
	if r.highestTicketLocked() > before {
		wake(r.pushSignal)
	}
	return len(r.pending) > 0, err
}

// installSnapshot replaces the state with a snapshot and applies the pending tickets that follow it.
func (r *Relay) installSnapshot(s *wire.Snapshot) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	err := r.state.Load(s)
	if state.NeedsNewer(err) {
		r.block(err)
	}
	return errors.Join(err, r.applyPending())
}

func (r *Relay) applyPending() error {
	for n := range r.pending {
		if n <= r.state.Number() {
			delete(r.pending, n)
		}
	}
	for {
		n := r.state.Number() + 1
		t, found := r.pending[n]
		if !found {
			return nil
		}
		err := r.state.Apply(t)
		if state.NeedsNewer(err) {
			r.block(err) // the ticket stays pending and is forwarded
			return err
		}
		delete(r.pending, n)
		if err != nil {
			r.Log.WithError(err).WithField("ticket", n).Error("ticket cannot be applied")
			return err
		}
	}
}

// applyDelta applies the tickets, instance list and membership updates that a peer sent.
func (r *Relay) applyDelta(d *wire.Delta) {
	_, _ = r.applyTickets(d.GetTickets()) // applyTickets logs the error; the state is then not confirmed as current
	if d.GetInstances() != nil || d.GetListRevision() > 0 {
		r.mergeList(d.GetInstances(), d.GetListSince(), d.GetListRevision())
	}
	for _, w := range d.GetWords() {
		if w.GetId() == string(r.members.Self().ID) {
			continue
		}
		if r.members.RecordRelayedReport(r.Clock.Now(), w) {
			r.queueMemberUpdate(w)
		}
	}
}

// recordSender records what the sender of a digest reports about itself.
func (r *Relay) recordSender(d *wire.Digest) {
	if d.GetFrom() == "" {
		return // the request of an operator's tool, not of an instance
	}
	r.recordPeerTickets(d)
	if r.members.RecordSelfReport(r.Clock.Now(), core.InstanceID(d.GetFrom()), d.GetRun(), d.GetLeaving()) {
		r.queueMemberUpdate(&wire.Word{Id: d.GetFrom(), Run: d.GetRun(), Leaving: d.GetLeaving()})
	}
}

func (r *Relay) queueMemberUpdate(w *wire.Word) {
	r.mu.Lock()
	r.memberUpdates = append(r.memberUpdates, w)
	r.mu.Unlock()
	wake(r.pushSignal)
}

func (r *Relay) mergeList(list []*wire.Instance, since, revision uint64) {
	if r.members.Merge(list, since, revision) {
		r.mu.Lock()
		r.listChanged = true
		r.mu.Unlock()
		wake(r.pushSignal)
	}
}
