package relay

import (
	"context"

	"snipeshed/core"
	"snipeshed/wire"
)

// server implements wire.Peer, the calls from peers.
type server struct{ g *Gossiper }

// Exchange returns what the sender of a digest lacks.
func (s *server) Exchange(_ context.Context, d *wire.Digest) (*wire.Delta, error) {
	s.g.recordSender(d)
	s.g.members.ClearSuspicion(core.InstanceID(d.GetFrom()))
	s.g.requestPull(d)
	return s.g.deltaFor(d), nil
}

// Push applies changes and returns this instance's digest.
func (s *server) Push(_ context.Context, d *wire.Delta) (*wire.Digest, error) {
	s.g.recordSender(d.GetDigest())
	s.g.applyDelta(d)
	s.g.requestPull(d.GetDigest())
	return s.g.digestFor(d.GetDigest()), nil
}

// State returns the whole configuration.
func (s *server) State(context.Context, *wire.Digest) (*wire.Snapshot, error) {
	return s.g.state.Snapshot(), nil
}

// requestPull requests an exchange with the sender of a digest that is ahead, unless one is already requested.
func (g *Gossiper) requestPull(d *wire.Digest) {
	if highestTicketOf(d) <= g.highestTicket() {
		return
	}
	select {
	case g.pullRequests <- d:
	default:
	}
}

// runPulls exchanges with peers that are ahead, and reads the store if a ticket accepted here follows others that this
// instance lacks.
func (g *Gossiper) runPulls() {
	for {
		select {
		case <-g.ctx.Done():
			return
		case d := <-g.pullRequests:
			// An earlier exchange may already have fetched the ticket.
			if p, found := g.members.Peer(core.InstanceID(d.GetFrom())); found && highestTicketOf(d) > g.highestTicket() {
				_ = g.exchange(g.ctx, p) // call marks the peer suspect; the next gossip tick retries
			}
		case <-g.catchUpSignal:
			if _, err := g.catchUp(g.ctx); err != nil {
				g.Log.WithError(err).Warn("tickets before an accepted one cannot be read from the store")
			}
		}
	}
}
