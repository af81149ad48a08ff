package relay

import (
	"context"

	"snipeshed/core"
	"snipeshed/wire"
)

// server answers peers.
type server struct{ r *Relay }

// Exchange returns what the sender of a digest lacks.
func (s *server) Exchange(_ context.Context, d *wire.Digest) (*wire.Delta, error) {
	s.r.hear(d)
	s.r.members.Trust(core.InstanceID(d.GetFrom()))
	if d.GetTicket() > uint64(s.r.state.Number()) {
		s.r.pullFrom(core.InstanceID(d.GetFrom()))
	}
	return s.r.answer(d), nil
}

// Push takes news and returns this instance's digest.
func (s *server) Push(_ context.Context, d *wire.Delta) (*wire.Digest, error) {
	s.r.hear(d.GetDigest())
	if s.r.takeDelta(d) || d.GetDigest().GetTicket() > uint64(s.r.state.Number()) {
		s.r.pullFrom(core.InstanceID(d.GetDigest().GetFrom()))
	}
	return s.r.digest(), nil
}

// State returns the whole configuration.
func (s *server) State(context.Context, *wire.Digest) (*wire.Snapshot, error) {
	return s.r.state.Snapshot(), nil
}

// pullFrom asks for an exchange with a peer that is ahead; one that is already waiting is enough.
func (r *Relay) pullFrom(id core.InstanceID) {
	select {
	case r.pulls <- id:
	default:
	}
}

// pull fetches what this instance lacks from peers that are ahead, and from the store after a ticket accepted here.
func (r *Relay) pull() {
	for {
		select {
		case <-r.ctx.Done():
			return
		case id := <-r.pulls:
			if p, found := r.members.Peer(id); found {
				_ = r.exchange(r.ctx, p) // call marks the peer suspect; the next gossip repeats it
			}
		case <-r.catchUps:
			if _, err := r.catchUp(r.ctx); err != nil {
				r.Log.WithError(err).Warn("tickets before an accepted one cannot be read")
			}
		}
	}
}
