package evac

import (
	"slices"
	"sync"
	"time"

	"snipeshed/core"
)

// EarlierTimeout is how long the evacuations of earlier eras of the store count that its present one lacks: the operator writes them
// again, or they had ended unnoticed.
const EarlierTimeout = 5 * time.Minute

// Domains is the set of evacuated failure domains; it is safe for concurrent use.
//
// The instance that watches the store tells the others all that it knows with its revision, so that they may miss or repeat any
// message. When the store comes back from a copy of itself, it may lack evacuations that it had acknowledged, until the operator has
// written them again. What was known of its earlier eras therefore counts beside it for a while.
type Domains struct {
	onChange func([]core.FailureDomain)

	mu      sync.Mutex
	present Set
	// earlier are the newest known sets of earlier eras, one for each; they count until earlierUntil.
	earlier      []Set
	earlierUntil time.Time
	ended        []Ending
	evacuated    []core.FailureDomain // sorted; replaced, never modified
}

// New returns an empty set that calls onChange with each changed set, in the order of the changes.
func New(onChange func([]core.FailureDomain)) *Domains { return &Domains{onChange: onChange} }

// Replace replaces the set of the store with the one at a revision, unless a newer one is known.
func (d *Domains) Replace(now time.Time, revision core.Revision, list []core.FailureDomain) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.setPresent(now, Set{revision, sorted(list)})
	d.update(now)
}

// Change adds or removes a domain in the set of the store at a revision, unless a newer set is known.
func (d *Domains) Change(now time.Time, revision core.Revision, domain core.FailureDomain, evacuated bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := without(d.present.Domains, []core.FailureDomain{domain})
	if evacuated {
		list = sorted(append(list, domain))
	}
	d.setPresent(now, Set{revision, list})
	d.update(now)
}

// Merge applies what another instance knows. Revisions without an era, which instances of older versions send, count in the present one.
func (d *Domains) Merge(now time.Time, s State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s.Present.Revision = s.Present.Revision.OrEra(d.present.Revision.Era)
	s.Present.Domains = sorted(s.Present.Domains)
	d.setPresent(now, s.Present)
	if s.EarlierLeft > 0 && s.Present.Revision.Era == d.present.Revision.Era {
		d.limitEarlier(now.Add(min(s.EarlierLeft, EarlierTimeout)))
	}
	if now.Before(d.earlierUntil) {
		for _, set := range append(slices.Clone(s.Earlier), s.Present) {
			d.addEarlier(set)
		}
		for _, e := range s.Ended {
			d.addEnding(e)
		}
	}
	d.update(now)
}

// Expire ends the evacuations of earlier eras that have counted for long enough.
func (d *Domains) Expire(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.update(now)
}

// Get returns the evacuated domains; the caller must not change them.
func (d *Domains) Get() []core.FailureDomain {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.evacuated
}

// State returns what is known, for other instances.
func (d *Domains) State(now time.Time) State {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := State{Present: d.present}
	if left := d.earlierUntil.Sub(now); left > 0 {
		s.Earlier, s.EarlierLeft, s.Ended = slices.Clone(d.earlier), left, slices.Clone(d.ended)
	}
	return s
}

// setPresent sets the set of the store unless a newer one is known; d.mu is held.
func (d *Domains) setPresent(now time.Time, s Set) {
	known := d.present
	if !s.Revision.After(known.Revision) {
		return
	}
	d.present = s
	switch {
	case known.Revision.Era == s.Revision.Era:
		d.endDropped(known, s)
	case known.Revision.Era != 0:
		if !now.Before(d.earlierUntil) {
			d.earlier = nil
		}
		d.earlierUntil = now.Add(EarlierTimeout) // the operator has to write all of them again
		d.addEarlier(known)
	}
}

// limitEarlier lets the sets of earlier eras count until the given time at most; d.mu is held.
func (d *Domains) limitEarlier(until time.Time) {
	if d.earlierUntil.IsZero() || until.Before(d.earlierUntil) {
		d.earlierUntil = until
	}
}

// addEarlier adds a set of an earlier era unless a newer one of that era is known; d.mu is held.
func (d *Domains) addEarlier(s Set) {
	if s.Revision.Era == 0 || s.Revision.Era >= d.present.Revision.Era {
		return
	}
	for i, known := range d.earlier {
		if known.Revision.Era != s.Revision.Era {
			continue
		}
		if s.Revision.After(known.Revision) {
			d.earlier[i] = s
			d.endDropped(known, s)
		}
		return
	}
	d.earlier = append(d.earlier, s)
}

// endDropped records the evacuations that are in a set and not in a newer one of the same era; d.mu is held.
func (d *Domains) endDropped(older, newer Set) {
	for _, domain := range without(older.Domains, newer.Domains) {
		d.addEnding(Ending{domain, newer.Revision.Era})
	}
}

// addEnding records the end of an evacuation; d.mu is held.
func (d *Domains) addEnding(e Ending) {
	for i, known := range d.ended {
		if known.Domain == e.Domain {
			d.ended[i].Era = max(known.Era, e.Era)
			return
		}
	}
	d.ended = append(d.ended, e)
}

// update computes the evacuated domains and reports a change; d.mu is held.
func (d *Domains) update(now time.Time) {
	list := d.present.Domains
	if now.Before(d.earlierUntil) {
		list = slices.Clone(list)
		for _, s := range d.earlier {
			list = append(list, without(s.Domains, d.endedAfter(s.Revision.Era))...)
		}
		list = sorted(list)
	}
	if slices.Equal(list, d.evacuated) {
		return
	}
	d.evacuated = list
	d.onChange(list)
}

// endedAfter returns the domains whose evacuations have ended in a later era; d.mu is held.
func (d *Domains) endedAfter(era core.Era) (out []core.FailureDomain) {
	for _, e := range d.ended {
		if e.Era > era {
			out = append(out, e.Domain)
		}
	}
	return out
}
