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
	s.r.pullFrom(d)
	return s.r.answer(d), nil
}

// Push takes news and returns this instance's digest.
func (s *server) Push(_ context.Context, d *wire.Delta) (*wire.Digest, error) {
	s.r.hear(d.GetDigest())
	s.r.takeDelta(d)
	s.r.pullFrom(d.GetDigest())
	return s.r.digestFor(d.GetDigest()), nil
}

// State returns the whole configuration.
func (s *server) State(context.Context, *wire.Digest) (*wire.Snapshot, error) {
	return s.r.state.Snapshot(), nil
}

// pullFrom asks for an exchange with the sender of a digest if it is ahead; one that is already waiting is enough.
func (r *Relay) pullFrom(d *wire.Digest) {
	if topOf(d) <= r.top() {
		return
	}
	select {
	case r.pulls <- d:
	default:
	}
}

// pull fetches what this instance lacks from peers that are ahead, and from the store after a ticket accepted here.
func (r *Relay) pull() {
	for {
		select {
		case <-r.ctx.Done():
			return
		case d := <-r.pulls:
			// The exchange before may have brought the ticket already.
			if p, found := r.members.Peer(core.InstanceID(d.GetFrom())); found && topOf(d) > r.top() {
				_ = r.exchange(r.ctx, p) // call marks the peer suspect; the next gossip repeats it
			}
		case <-r.catchUps:
			if _, err := r.catchUp(r.ctx); err != nil {
				r.Log.WithError(err).Warn("tickets before an accepted one cannot be read")
			}
		}
	}
}
