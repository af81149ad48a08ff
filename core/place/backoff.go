package place

import (
	"time"

	"snipeshed/core"
	"snipeshed/core/fleet"
)

// BackoffEnd returns the earliest time at which one of the endpoints accepts requests again. It returns the zero time if one
// accepts them now, or if none will; tried, leaving and unreachable endpoints count as neither.
func BackoffEnd(now time.Time, all []*fleet.Status, tried map[core.EndpointID]bool) time.Time {
	var end time.Time
	for _, e := range all {
		if tried[e.ID] || e.Leaving || now.Before(e.UnreachableUntil) {
			continue
		}
		if !e.BacksOff(now) {
			return time.Time{}
		}
		if end.IsZero() || e.BackoffUntil.Before(end) {
			end = e.BackoffUntil
		}
	}
	return end
}
