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
	// gone is set when the store has no entry any more.
	gone bool
}
