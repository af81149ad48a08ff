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
	// ReturnedAt is the time at which the evacuation of the endpoint's failure domain ended; zero if there was none.
	ReturnedAt time.Time
	// UnreachableUntil is the time until which the endpoint is considered unreachable.
	UnreachableUntil time.Time
	// BackoffUntil is the time until which the endpoint wants no requests from this instance.
	BackoffUntil time.Time
	// gone reports whether the endpoint's entry was removed from the store.
	gone bool
	// lapsed reports whether the entry was found missing soon after a store outage, in which its lease may have expired.
	lapsed bool
	// entryRevision is the revision of the store's list at which the entry was last changed.
	entryRevision core.Revision
	// copiedUntil is the time until which the store may have the entry from a copy of itself, and held reports whether the endpoint counts
	// as leaving until then although the entry says otherwise.
	copiedUntil time.Time
	held        bool
	// peerReport holds a report of another instance that the endpoint leaves.
	peerReport peerReport
}

// IsGone reports whether the endpoint's entry was removed from the store.
func (s *Status) IsGone() bool { return s.gone }

// peerReport is a report of another instance. It may rest on an entry that the store has replaced since.
type peerReport struct {
	isSet    bool
	revision core.Revision // that of the other instance's list
}

// coversEntry reports whether the other instance knew the entry that was last changed at the given revision.
func (r peerReport) coversEntry(entryRevision core.Revision) bool {
	return r.isSet && !entryRevision.After(r.revision)
}

// BacksOff reports whether the endpoint wants no requests from this instance.
func (s *Status) BacksOff(now time.Time) bool { return now.Before(s.BackoffUntil) }
