package relay

import (
	"maps"

	"snipeshed/core"
	"snipeshed/wire"
)

// ahead is what others said of tickets that this instance may lack.
//
// An instance keeps nothing on disk, so after a restart only its peers can tell it which ticket it had in force.
type ahead struct {
	// named is the highest ticket that any instance named to this one.
	named core.TicketNumber
	// said holds, by instance, the ticket in force there while it is above the one in force here.
	said map[core.InstanceID]core.TicketNumber
}

// noteAhead records the tickets that a digest names.
func (r *Relay) noteAhead(d *wire.Digest) {
	n := core.TicketNumber(d.GetTicket())
	have := r.state.Number()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ahead.named = max(r.ahead.named, n, core.TicketNumber(d.GetHeard()))
	maps.DeleteFunc(r.ahead.said, func(_ core.InstanceID, n core.TicketNumber) bool { return n <= have })
	if id := core.InstanceID(d.GetFrom()); n > max(have, r.ahead.said[id]) {
		if r.ahead.said == nil {
			r.ahead.said = map[core.InstanceID]core.TicketNumber{}
		}
		r.ahead.said[id] = n
	}
}

// digestFor returns the digest that answers another one.
func (r *Relay) digestFor(asker *wire.Digest) *wire.Digest {
	d := r.digest()
	if asker.GetFrom() == "" {
		d.Format = r.state.Format() // an operator's question
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := uint64(r.ahead.said[core.InstanceID(asker.GetFrom())]); n > d.GetTicket() {
		d.Heard = n
	}
	return d
}

func (r *Relay) named() core.TicketNumber {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ahead.named
}
