package state

import (
	"google.golang.org/protobuf/proto"

	"snipeshed/core"
	"snipeshed/wire"
)

// recent holds the most recently applied tickets, without gaps. Their number and total size are bounded.
type recent struct {
	maxTickets int
	maxBytes   int
	tickets    []*wire.Ticket
	bytes      int
	byID       map[string]*wire.Ticket
}

func newRecent(maxTickets, maxBytes int) recent {
	return recent{maxTickets: maxTickets, maxBytes: maxBytes, byID: map[string]*wire.Ticket{}}
}

func (r *recent) add(t *wire.Ticket) {
	r.tickets = append(r.tickets, t)
	r.byID[t.GetId()] = t
	r.bytes += proto.Size(t)
	for len(r.tickets) > 1 && (len(r.tickets) > r.maxTickets || r.bytes > r.maxBytes) {
		first := r.tickets[0]
		r.tickets[0] = nil
		r.tickets = r.tickets[1:]
		r.bytes -= proto.Size(first)
		if r.byID[first.GetId()] == first {
			delete(r.byID, first.GetId())
		}
	}
}

func (r *recent) clear() {
	r.tickets, r.bytes, r.byID = nil, 0, map[string]*wire.Ticket{}
}

func (r *recent) after(n core.TicketNumber, limit int) ([]*wire.Ticket, bool) {
	if len(r.tickets) == 0 || uint64(n)+1 < r.tickets[0].GetNumber() {
		return nil, false
	}
	rest := r.tickets[uint64(n)+1-r.tickets[0].GetNumber():]
	rest = rest[:min(len(rest), max(limit, 0))]
	return append([]*wire.Ticket(nil), rest...), true
}
