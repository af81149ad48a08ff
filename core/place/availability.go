package place

import (
	"time"

	"snipeshed/core"
	"snipeshed/core/fleet"
)

// Availability summarizes which endpoints a call could have used; it explains a placement decision.
type Availability struct {
	Endpoints   int
	Leaving     int
	Unreachable int
	Room        int     // endpoints with enough free memory and a free slot for the call
	LeastShare  float64 // lowest share of memory in use, including the call, over the available endpoints
}

// Availability counts the endpoints that are leaving, unreachable or have room for a call.
func (p *Selector) Availability(now time.Time, s core.Service, all []*fleet.Status, d Demand) Availability {
	o := Availability{Endpoints: len(all)}
	for _, e := range all {
		switch {
		case e.Leaving:
			o.Leaving++
			continue
		case now.Before(e.UnreachableUntil):
			o.Unreachable++
			continue
		case s.Engine == nil:
			o.Room++
			continue
		}
		u := p.tally.Load(now, e.ID)
		if hasRoom(s, u, d) {
			o.Room++
		}
		share := float64(u.Tokens+d.Tokens) / float64(max(s.Engine.Capacity, 1))
		if o.LeastShare == 0 || share < o.LeastShare {
			o.LeastShare = share
		}
	}
	return o
}
