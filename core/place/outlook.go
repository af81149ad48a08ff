package place

import (
	"time"

	"snipeshed/core"
	"snipeshed/core/fleet"
)

// Outlook summarizes which endpoints a call could have used; it explains a placement decision.
type Outlook struct {
	Endpoints   int
	Leaving     int
	Unreachable int
	Room        int     // endpoints with enough free memory and a free slot for the call
	LeastShare  float64 // lowest share of memory in use, including the call, over the available endpoints
}

// Outlook counts the endpoints that are leaving, unreachable or have room for a call.
func (p *Place) Outlook(now time.Time, s core.Service, all []*fleet.Status, d Demand) Outlook {
	o := Outlook{Endpoints: len(all)}
	for _, e := range all {
		switch {
		case e.Leaving:
			o.Leaving++
			continue
		case now.Before(e.Unreachable):
			o.Unreachable++
			continue
		case s.Engine == nil:
			o.Room++
			continue
		}
		u := p.tally.Of(now, e.ID)
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
