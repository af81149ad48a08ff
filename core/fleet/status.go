package fleet

import (
	"time"

	"snipeshed/core"
)

// Status is what is believed of one endpoint.
type Status struct {
	core.Endpoint
	Leaving bool
	// Since is when the endpoint was first known to be leaving.
	Since time.Time
	// Warm is when the endpoint is no longer slow after its start.
	Warm time.Time
	// Unreachable is until when the endpoint counts as not taking connections.
	Unreachable time.Time
	// gone is set when the store has no entry any more.
	gone bool
	// lapsed is when the entry was found missing after an outage of the store; zero otherwise.
	lapsed time.Time
	// hinted is set when the endpoint itself or another instance said that it leaves.
	hinted bool
}
