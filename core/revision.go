package core

import (
	"fmt"
	"strconv"
)

// Era counts the histories of a store. It rises when the store comes back from an older copy of itself: changes that it had acknowledged
// are gone then, and their revisions are given out again. 0 means that no era is known; others are one higher than the number that the
// store gives, which may begin at 0.
type Era uint64

// NewEra returns the era to which a store has given a number.
func NewEra(n uint64) Era { return Era(n + 1) }

// String returns the number that the store has given to the era.
func (e Era) String() string {
	if e == 0 {
		return "none"
	}
	return strconv.FormatUint(uint64(e)-1, 10)
}

// Revision is a position in the history of a store. Numbers of different eras belong to different histories.
type Revision struct {
	Era    Era
	Number Version
}

// IsZero reports whether the revision is unknown.
func (r Revision) IsZero() bool { return r == Revision{} }

// After reports whether r is newer than o. Each revision of a later era is newer than those of the earlier ones.
func (r Revision) After(o Revision) bool {
	if r.Era != o.Era {
		return r.Era > o.Era
	}
	return r.Number > o.Number
}

// OrEra returns r, or the same number in the given era if r names none, as revisions from instances of older versions do.
func (r Revision) OrEra(era Era) Revision {
	if r.Era == 0 && r.Number > 0 {
		r.Era = era
	}
	return r
}

// String returns the number, behind the era if there is one.
func (r Revision) String() string {
	if r.Era == 0 {
		return fmt.Sprint(uint64(r.Number))
	}
	return fmt.Sprintf("%v.%d", r.Era, r.Number)
}

// LaterRevision returns the newer of two revisions.
func LaterRevision(a, b Revision) Revision {
	if b.After(a) {
		return b
	}
	return a
}
