package elect

import (
	"cmp"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"snipeshed/core"
)

// Interval is the time between two heartbeats of an instance that reads.
const Interval = 200 * time.Millisecond

const (
	// takeoverStep is the time by which each further instance in the order waits longer before it reads in place of those that should.
	// It is longer than an instance takes to read and to tell the others.
	takeoverStep = 150 * time.Millisecond
	// standbys is the number of instances that would be the next to read and get heartbeats from those that do.
	standbys = 4
	// maxSilence is the time without a heartbeat after which a recipient counts an instance as one that doesn't read; two heartbeats may
	// be lost.
	maxSilence = 700 * time.Millisecond
	// outageReaders is the number of instances that try to read beside the elected ones while the store counts as down for all.
	outageReaders = 6
)

// Election decides whether this instance reads the store. It is safe for concurrent use.
//
// All instances use the same order, in which the failure domains take turns: the store may turn away those of one domain only. The first
// few that reach the store read it. An instance behind them reads too, after a delay that grows with its place, while too few of the others
// say that they do: those that should may have just started, may not reach the store, or may use another order because their version is
// older.
type Election struct {
	self    core.Candidate
	readers int

	mu         sync.Mutex
	shortSince time.Time // since when too few of the others read; zero while enough do
}

// New returns an Election in which an instance takes part that is one of a number of readers.
func New(self core.Peer, readers int) *Election {
	return &Election{self: core.Candidate{ID: self.ID, FailureDomain: self.FailureDomain}, readers: readers}
}

// Elected reports whether this instance is to read the store beside the others, which are live. In an outage, which the caller knows of,
// the first few instances try, whether they reached the store or not.
func (e *Election) Elected(now time.Time, own core.StoreAccess, outage bool, others []core.Candidate) bool {
	others = e.heard(own, others)
	reading := countReading(others)
	short := e.shortTime(now, reading < e.readers)
	if reading >= e.readers && !own.Watching && e.turn(others, outage) >= e.readers {
		return false // without the whole order, as most instances of a large fleet ask often and are far behind
	}
	place, readingAhead := e.place(others, outage)
	switch {
	case place < e.readers:
		return true
	case outage && place >= e.readers+outageReaders:
		return false
	case own.Reading:
		return readingAhead < e.readers
	case own.Watching:
		return reading < e.readers
	default:
		return reading < e.readers && short >= time.Duration(place-e.readers+1)*takeoverStep
	}
}

// Recipients returns the instances to which this one, if it reads the store, sends heartbeats: the others that read, and the standbys,
// which would be the next to read.
func (e *Election) Recipients(others []core.Candidate) (out []core.InstanceID) {
	left := standbys
	for _, c := range order(others) {
		switch {
		case c.Reading:
			out = append(out, c.ID)
		case !c.Down && left > 0:
			left--
			out = append(out, c.ID)
		}
	}
	return out
}

// heard returns the others, of which those that read but have sent no heartbeats count as not reading. Only a recipient of heartbeats can
// tell. Without them, instances that are killed count as reading until their loss is known to all.
func (e *Election) heard(own core.StoreAccess, others []core.Candidate) []core.Candidate {
	isSilent := func(c core.Candidate) bool { return c.Reading && c.Silence > maxSilence }
	if !slices.ContainsFunc(others, isSilent) || !own.Reading && !e.isStandby(others) {
		return others
	}
	out := slices.Clone(others)
	for i := range out {
		out[i].Reading = out[i].Reading && !isSilent(out[i])
	}
	return out
}

// isStandby reports whether this instance, which does not read, gets heartbeats from those that do.
func (e *Election) isStandby(others []core.Candidate) bool {
	if e.turn(others, false) >= e.readers+standbys {
		return false // without the whole order, as in Elected
	}
	return slices.Contains(e.Recipients(append(slices.Clone(others), e.self)), e.self.ID)
}

// First reports whether this instance, which reads the store, is the first in the order that does.
func (e *Election) First(others []core.Candidate) bool {
	_, readingAhead := e.place(e.heard(core.StoreAccess{Reading: true}, others), false)
	return readingAhead == 0
}

// shortTime returns for how long too few of the others have read.
func (e *Election) shortTime(now time.Time, short bool) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !short {
		e.shortSince = time.Time{}
		return 0
	}
	if e.shortSince.IsZero() {
		e.shortSince = now
	}
	return now.Sub(e.shortSince)
}

// turn returns the number of others in this instance's failure domain that are before it in the order. Those that are down count only
// if withDown is set.
func (e *Election) turn(others []core.Candidate, withDown bool) (n int) {
	own := hash(e.self.ID)
	for _, c := range others {
		if c.FailureDomain == e.self.FailureDomain && (withDown || !c.Down) && hash(c.ID) < own {
			n++
		}
	}
	return n
}

// place returns the number of others that are before this instance in the order, and how many of those read. Those that are down keep
// their place in the order, so that an instance of another failure domain follows, but count only if withDown is set.
func (e *Election) place(others []core.Candidate, withDown bool) (ahead, readingAhead int) {
	for _, c := range order(append(others, e.self)) {
		if c.ID == e.self.ID {
			break
		}
		if withDown || !c.Down {
			ahead++
		}
		if c.Reading {
			readingAhead++
		}
	}
	return ahead, readingAhead
}

func countReading(list []core.Candidate) (n int) {
	for _, c := range list {
		if c.Reading {
			n++
		}
	}
	return n
}

// ranked is a candidate with its place in the order of its failure domain.
type ranked struct {
	core.Candidate
	hash  uint64
	place int
}

// order returns the candidates such that the failure domains take turns; within each turn and each domain a hash decides.
func order(list []core.Candidate) []ranked {
	out := make([]ranked, len(list))
	for i, c := range list {
		out[i] = ranked{Candidate: c, hash: hash(c.ID)}
	}
	slices.SortFunc(out, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.FailureDomain, b.FailureDomain), cmp.Compare(a.hash, b.hash), cmp.Compare(a.ID, b.ID))
	})
	for i := 1; i < len(out); i++ {
		if out[i].FailureDomain == out[i-1].FailureDomain {
			out[i].place = out[i-1].place + 1
		}
	}
	slices.SortFunc(out, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.place, b.place), cmp.Compare(a.hash, b.hash), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// hash returns a hash of which all bits depend on each byte of the id: ids of neighboring instances differ in the last byte only.
func hash(id core.InstanceID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // never fails
	x := h.Sum64()
	x = (x ^ x>>33) * 0xff51afd7ed558ccd // the finalizer of MurmurHash3
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
