package relay

import (
	"maps"

	"snipeshed/core"
	"snipeshed/wire"
)

// peerTickets records ticket numbers that peers reported and that this instance may lack.
//
// An instance keeps nothing on disk, so after a restart only its peers can tell it which ticket it had in force.
type peerTickets struct {
	// highest is the highest ticket number that any peer has reported.
	highest core.TicketNumber
	// byInstance holds the ticket in force at each peer that is ahead of this instance.
	byInstance map[core.InstanceID]core.TicketNumber
}

// recordPeerTickets records the ticket numbers in a digest.
func (g *Gossiper) recordPeerTickets(d *wire.Digest) {
	n := core.TicketNumber(d.GetTicket())
	have := g.state.Number()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.peerTickets.highest = max(g.peerTickets.highest, n, core.TicketNumber(d.GetHeard()))
	maps.DeleteFunc(g.peerTickets.byInstance, func(_ core.InstanceID, n core.TicketNumber) bool { return n <= have })
	if id := core.InstanceID(d.GetFrom()); n > max(have, g.peerTickets.byInstance[id]) {
		if g.peerTickets.byInstance == nil {
			g.peerTickets.byInstance = map[core.InstanceID]core.TicketNumber{}
		}
		g.peerTickets.byInstance[id] = n
	}
}

// digestFor returns the digest with which to answer another digest.
func (g *Gossiper) digestFor(asker *wire.Digest) *wire.Digest {
	d := g.digest()
	if asker.GetFrom() == "" {
		d.Format = g.state.Format() // the request of an operator's tool
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if n := uint64(g.peerTickets.byInstance[core.InstanceID(asker.GetFrom())]); n > d.GetTicket() {
		d.Heard = n
	}
	return d
}

func (g *Gossiper) highestPeerTicket() core.TicketNumber {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.peerTickets.highest
}
