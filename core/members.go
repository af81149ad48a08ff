package core

import "time"

// Peer is another instance of snipeshed.
type Peer struct {
	ID            InstanceID
	Address       string
	FailureDomain FailureDomain
}

// Candidate is an instance that may read the store on behalf of all.
type Candidate struct {
	ID            InstanceID
	FailureDomain FailureDomain
	Down          bool // its last call of the store failed
	Reading       bool // it follows the changes of the store, which has answered it lately
	// Silence is the time since it was last heard from.
	Silence time.Duration
}

// StoreAccess is the state of an instance's own access to the store.
type StoreAccess struct {
	Down     bool // the last call failed
	Up       bool // the store has answered in the last seconds, and no call has failed since
	Watching bool // the instance tries to follow the changes of the store
	Reading  bool // it follows them, and the store has answered since it began
}

// LargeFleetInstances is the smallest number of live instances that counts as a large fleet. In a large fleet, load
// changes due to short calls are sent immediately only to instances in the failure domains of the endpoint and of the
// sender; the others get them with the next full report.
const LargeFleetInstances = 33

// Members lists the live instances and tells which endpoints are leaving.
type Members interface {
	// Self returns this instance.
	Self() Peer
	// Owners returns up to n instances for a resource by rendezvous hashing, best first, without leaving and suspected
	// ones.
	Owners(now time.Time, resource string, n int) []Peer
	// MarkSuspect excludes an instance from Owners for a while because it did not answer.
	MarkSuspect(now time.Time, id InstanceID)
	// EndpointLeaving reports whether the instance list says that the endpoint with this address is leaving or gone.
	EndpointLeaving(address string) bool
}
