package place

import (
	"time"

	"snipeshed/core"
	"snipeshed/core/fleet"
)

// Outlook says why a call found room or none.
type Outlook struct {
	Endpoints   int
	Leaving     int
	Unreachable int
	Room        int     // endpoints with room for the call
	LeastShare  float64 // of memory, the call included, at the endpoint that stays with the least
}

// Outlook returns what a choice for a call is based on.
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
		if room(s, u, d) {
			o.Room++
		}
		share := float64(u.Tokens+d.Tokens) / float64(max(s.Engine.Capacity, 1))
		if o.LeastShare == 0 || share < o.LeastShare {
			o.LeastShare = share
		}
	}
	return o
}
