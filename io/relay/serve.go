package relay

import (
	"context"

	"snipeshed/core"
	"snipeshed/wire"
)

// server implements wire.Peer, the calls from peers.
type server struct{ r *Relay }

// Exchange returns what the sender of a digest lacks.
func (s *server) Exchange(_ context.Context, d *wire.Digest) (*wire.Delta, error) {
	s.r.recordSender(d)
	s.r.members.ClearSuspicion(core.InstanceID(d.GetFrom()))
	s.r.requestPull(d)
	return s.r.deltaFor(d), nil
}

// Push applies changes and returns this instance's digest.
func (s *server) Push(_ context.Context, d *wire.Delta) (*wire.Digest, error) {
	s.r.recordSender(d.GetDigest())
	s.r.applyDelta(d)
	s.r.requestPull(d.GetDigest())
	return s.r.digestFor(d.GetDigest()), nil
}

// State returns the whole configuration.
func (s *server) State(context.Context, *wire.Digest) (*wire.Snapshot, error) {
	return s.r.state.Snapshot(), nil
}

// requestPull requests an exchange with the sender of a digest that is ahead, unless one is already requested.
func (r *Relay) requestPull(d *wire.Digest) {
	if highestTicketOf(d) <= r.highestTicket() {
		return
	}
	select {
	case r.pullRequests <- d:
	default:
	}
}

// runPulls exchanges with peers that are ahead, and reads the store if a ticket accepted here follows others that this
// instance lacks.
func (r *Relay) runPulls() {
	for {
		select {
		case <-r.ctx.Done():
			return
		case d := <-r.pullRequests:
			// An earlier exchange may already have fetched the ticket.
			if p, found := r.members.Peer(core.InstanceID(d.GetFrom())); found && highestTicketOf(d) > r.highestTicket() {
				_ = r.exchange(r.ctx, p) // call marks the peer suspect; the next gossip tick retries
			}
		case <-r.catchUpSignal:
			if _, err := r.catchUp(r.ctx); err != nil {
				r.Log.WithError(err).Warn("tickets before an accepted one cannot be read from the store")
			}
		}
	}
}
