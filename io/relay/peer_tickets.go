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
func (r *Relay) recordPeerTickets(d *wire.Digest) {
	n := core.TicketNumber(d.GetTicket())
	have := r.state.Number()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peerTickets.highest = max(r.peerTickets.highest, n, core.TicketNumber(d.GetHeard()))
	maps.DeleteFunc(r.peerTickets.byInstance, func(_ core.InstanceID, n core.TicketNumber) bool { return n <= have })
	if id := core.InstanceID(d.GetFrom()); n > max(have, r.peerTickets.byInstance[id]) {
		if r.peerTickets.byInstance == nil {
			r.peerTickets.byInstance = map[core.InstanceID]core.TicketNumber{}
		}
		r.peerTickets.byInstance[id] = n
	}
}

// digestFor returns the digest with which to answer another digest.
func (r *Relay) digestFor(asker *wire.Digest) *wire.Digest {
	d := r.digest()
	if asker.GetFrom() == "" {
		d.Format = r.state.Format() // the request of an operator's tool
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := uint64(r.peerTickets.byInstance[core.InstanceID(asker.GetFrom())]); n > d.GetTicket() {
		d.Heard = n
	}
	return d
}

func (r *Relay) highestPeerTicket() core.TicketNumber {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.peerTickets.highest
}
