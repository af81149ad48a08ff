package fleet

import (
	"time"

	"snipeshed/core"
)

// Status is the known state of one endpoint.
type Status struct {
	core.Endpoint
	Leaving bool
	// LeavingSince is the time at which the endpoint was first known to be leaving.
	LeavingSince time.Time
	// WarmAt is the time at which the endpoint's warm-up after its start ends.
	WarmAt time.Time
	// UnreachableUntil is the time until which the endpoint is considered unreachable.
	UnreachableUntil time.Time
	// gone reports whether the endpoint's entry was removed from the store.
	gone bool
	// lapsedAt is the time at which the entry was found missing after a store outage; zero otherwise.
	lapsedAt time.Time
	// reportedLeaving reports whether the endpoint itself or another instance reported that it leaves.
	reportedLeaving bool
}
