package relay

import (
	"errors"

	"snipeshed/core"
	"snipeshed/core/state"
	"snipeshed/wire"
)

// maxPending bounds the tickets that wait for an earlier one.
const maxPending = 1024

// apply applies tickets in order, keeps those after a gap and reports whether a gap remains.
func (r *Relay) apply(ts []*wire.Ticket) (gap bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.topLocked()
	for _, t := range ts {
		if n := core.TicketNumber(t.GetNumber()); n > r.state.Number() && len(r.pending) < maxPending {
			r.pending[n] = t
		}
	}
	err = r.drain()
	if r.topLocked() > before {
		wake(r.news)
	}
	return len(r.pending) > 0, err
}

// load replaces the state by a snapshot and applies the tickets that waited for it.
func (r *Relay) load(s *wire.Snapshot) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	err := r.state.Load(s)
	if state.NeedsNewer(err) {
		r.block(err)
	}
	return errors.Join(err, r.drain())
}

func (r *Relay) drain() error {
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
			r.block(err) // the ticket stays pending and is passed on
			return err
		}
		delete(r.pending, n)
		if err != nil {
			r.Log.WithError(err).WithField("ticket", n).Error("ticket cannot be applied")
			return err
		}
	}
}

// takeDelta takes what a peer sent.
func (r *Relay) takeDelta(d *wire.Delta) {
	_, _ = r.apply(d.GetTickets()) // apply logs the error; the state then lags and is not vouched for
	if d.GetInstances() != nil || d.GetListRevision() > 0 {
		r.fold(d.GetInstances(), d.GetListSince(), d.GetListRevision())
	}
	for _, w := range d.GetWords() {
		if w.GetId() == string(r.members.Self().ID) {
			continue
		}
		if r.members.HearOf(r.Clock.Now(), w) {
			r.passOn(w)
		}
	}
}

// hear takes what the sender of a digest says of itself.
func (r *Relay) hear(d *wire.Digest) {
	if d.GetFrom() == "" {
		return // an operator's question, not an instance
	}
	r.noteAhead(d)
	if r.members.Hear(r.Clock.Now(), core.InstanceID(d.GetFrom()), d.GetRun(), d.GetLeaving()) {
		r.passOn(&wire.Word{Id: d.GetFrom(), Run: d.GetRun(), Leaving: d.GetLeaving()})
	}
}

func (r *Relay) passOn(w *wire.Word) {
	r.mu.Lock()
	r.words = append(r.words, w)
	r.mu.Unlock()
	wake(r.news)
}

func (r *Relay) fold(list []*wire.Instance, since, revision uint64) {
	if r.members.Fold(list, since, revision) {
		r.mu.Lock()
		r.listNews = true
		r.mu.Unlock()
		wake(r.news)
	}
}
