package core

import "time"

// Peer is another instance of snipeshed.
type Peer struct {
	ID            InstanceID
	Address       string
	FailureDomain FailureDomain
}

// LargeFleet is the number of live instances from which the load of short calls is told at once only to the instances of
// the endpoint's failure domain and of the sender's; the others hear of it later.
const LargeFleet = 33

// Members gives the live instances and the state of endpoints' instances.
type Members interface {
	// Self returns this instance.
	Self() Peer
	// Owners returns up to n instances for a resource by rendezvous hash, best first, without leaving and suspect ones.
	Owners(now time.Time, resource string, n int) []Peer
	// Suspect passes an instance over for a while because it did not answer.
	Suspect(now time.Time, id InstanceID)
	// EndpointLeaving reports whether the instance list says that the endpoint with this address is leaving or gone.
	EndpointLeaving(address string) bool
}
