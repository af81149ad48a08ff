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
	BackingOff  int     // endpoints that want no requests from this instance for now
	WithRoom    int     // endpoints with enough free memory and a free slot for the call
	LeastShare  float64 // lowest share of memory in use, including the call, among the available endpoints
}

// Availability counts the endpoints that are leaving, back off, are unreachable or have room for a call.
func (sel *Selector) Availability(now time.Time, s core.Service, all []*fleet.Status, d Demand) Availability {
	out := Availability{Endpoints: len(all)}
	for _, e := range all {
		switch {
		case e.Leaving:
			out.Leaving++
			continue
		case e.BacksOff(now):
			out.BackingOff++
			continue
		case now.Before(e.UnreachableUntil):
			out.Unreachable++
			continue
		case s.Engine == nil:
			out.WithRoom++
			continue
		}
		load := sel.loads.Load(now, e.ID)
		if hasRoom(s, load, d) {
			out.WithRoom++
		}
		share := float64(load.Tokens+d.Tokens) / float64(max(s.Engine.Capacity, 1))
		if out.LeastShare == 0 || share < out.LeastShare {
			out.LeastShare = share
		}
	}
	return out
}
