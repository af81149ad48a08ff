package evac

import (
	"slices"
	"time"

	"snipeshed/core"
)

// State is what an instance knows of the evacuations.
type State struct {
	// Present is the newest set of the store.
	Present Set
	// Earlier are the newest known sets of earlier eras of the store, which count for EarlierLeft.
	Earlier     []Set
	EarlierLeft time.Duration
	// Ended are the ends of evacuations that are known.
	Ended []Ending
}

// Set is the set of evacuated failure domains at a revision of the store.
type Set struct {
	Revision core.Revision
	Domains  []core.FailureDomain // sorted; replaced, never modified
}

// Ending is the end of a domain's evacuation in an era of the store.
type Ending struct {
	Domain core.FailureDomain
	Era    core.Era
}

// sorted returns a sorted copy of a list without duplicates.
func sorted(list []core.FailureDomain) []core.FailureDomain {
	out := slices.Clone(list)
	slices.Sort(out)
	return slices.Compact(out)
}

// without returns a copy of a list that lacks the given domains.
func without(list, drop []core.FailureDomain) []core.FailureDomain {
	return slices.DeleteFunc(slices.Clone(list), func(d core.FailureDomain) bool { return slices.Contains(drop, d) })
}
