package elect

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
)

const readers = 2

// fleet is a simulated fleet whose instances all know each other.
type fleet struct {
	now     time.Time
	members []*member
	lost    []core.Candidate // have ended, but the others do not know it
}

type member struct {
	core.Candidate
	*Election
	starting bool // it is live, but does not read yet
	watching bool
}

// newFleet returns a fleet of failure domains with the given numbers of instances, named as deployments name them.
func newFleet(sizes ...int) *fleet {
	f := &fleet{now: time.Unix(1000, 0)}
	for d, size := range sizes {
		domain := core.FailureDomain(fmt.Sprint("north-", string(rune('a'+d))))
		for i := range size {
			p := core.Peer{ID: core.InstanceID(fmt.Sprintf("edge-%s-%d", domain, i+1)), FailureDomain: domain}
			f.members = append(f.members, &member{Candidate: core.Candidate{ID: p.ID, FailureDomain: domain}, Election: New(p, readers)})
		}
	}
	return f
}

// othersOf returns what an instance knows of the others.
func (f *fleet) othersOf(m *member) (out []core.Candidate) {
	out = append(out, f.lost...)
	for _, o := range f.members {
		if o != m {
			out = append(out, o.Candidate)
		}
	}
	return out
}

// step lets each instance decide once, and then those that read tell the others.
func (f *fleet) step() {
	f.now = f.now.Add(50 * time.Millisecond)
	for _, m := range f.members {
		own := core.StoreAccess{Down: m.Down, Up: m.Reading, Watching: m.watching, Reading: m.Reading}
		m.watching = !m.starting && m.Elected(f.now, own, false, f.othersOf(m))
	}
	for _, m := range f.members {
		m.Reading = m.watching && !m.Down
	}
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.step()
	}
}

func (f *fleet) reading() (out []*member) {
	for _, m := range f.members {
		if m.Reading {
			out = append(out, m)
		}
	}
	return out
}

// TestDomainsTakeTurns guards against readers and successors that all belong to the failure domain which the store turns away.
func TestDomainsTakeTurns(t *testing.T) {
	for _, sizes := range [][]int{{5, 4, 4}, {7, 4, 7}, {12, 12}, {24}} {
		is := is.New(t)
		f := newFleet(sizes...)
		f.run(3 * time.Second)
		first := f.reading()
		is.Equal(len(first), readers)
		if len(sizes) > 1 {
			is.True(first[0].FailureDomain != first[1].FailureDomain)
		}
		for _, m := range f.members {
			m.Down = m.FailureDomain == first[0].FailureDomain && len(sizes) > 1
			m.Reading = m.Reading && !m.Down
		}
		is.True(len(f.reading()) > 0) // changes still reach the others
		f.run(takeoverStep)
		is.Equal(len(f.reading()), readers)
	}
}

// TestStartedInstances guards against a store that nobody reads while the first in the order have just started: they count as live at
// once, but read seconds later.
func TestStartedInstances(t *testing.T) {
	is := is.New(t)
	f := newFleet(5, 4, 4)
	f.run(3 * time.Second)
	first := f.reading()
	restart := func(starting bool) {
		for _, m := range first {
			m.starting, m.watching, m.Reading = starting, false, false
		}
	}
	restart(true)
	f.run(3 * takeoverStep)
	is.Equal(len(f.reading()), readers)
	is.True(!slices.Contains(first, f.reading()[0]))
	restart(false)
	f.run(time.Second)
	is.Equal(f.reading(), first) // the others have stopped
}

// TestTurnedAway guards against a store that nobody reads for seconds because the first successors are turned away as well, and learn
// it late: a store that is silent for them.
func TestTurnedAway(t *testing.T) {
	is := is.New(t)
	f := newFleet(5, 4, 4)
	f.run(3 * time.Second)
	all := append([]*member{}, f.members...)
	slices.SortFunc(all, func(a, b *member) int {
		ahead, _ := a.place(f.othersOf(a), true)
		others, _ := b.place(f.othersOf(b), true)
		return ahead - others
	})
	for _, m := range all[:4] {
		m.starting, m.Reading = true, false // they try without an answer
	}
	f.run(5 * takeoverStep)
	is.Equal(len(f.reading()), readers)
}

// TestSilentReaders guards against a store that nobody reads until the loss of the instances that did is known to all.
func TestSilentReaders(t *testing.T) {
	is := is.New(t)
	f := newFleet(9, 9, 6)
	f.run(3 * time.Second)
	first := f.reading()
	f.members = slices.DeleteFunc(f.members, func(m *member) bool { return slices.Contains(first, m) })
	f.lost = []core.Candidate{first[0].Candidate, first[1].Candidate}
	for f.lost[0].Silence < 2*time.Second {
		f.step()
		is.True(len(f.reading()) <= readers+1)
		firsts := 0
		for _, m := range f.reading() {
			if m.First(f.othersOf(m)) {
				firsts++
			}
		}
		is.Equal(firsts, min(1, len(f.reading()))) // what only the first one reads is not left to a dead one
		is.True(f.lost[0].Silence < maxSilence+2*takeoverStep+50*time.Millisecond || len(f.reading()) >= readers)
		f.lost[0].Silence += 50 * time.Millisecond
		f.lost[1].Silence = f.lost[0].Silence
	}
}

// TestFewRead guards against a herd of instances that read as none does yet, and against one that tries in an outage.
func TestFewRead(t *testing.T) {
	is := is.New(t)
	f := newFleet(100, 100, 150)
	f.step()
	is.Equal(len(f.reading()), readers)
	first := f.reading()[0]
	is.Equal(len(first.Recipients(f.othersOf(first))), readers-1+standbys) // heartbeats cost the same in a fleet of any size
	tries := 0
	for _, m := range f.members {
		m.Reading = false
	}
	f.now = f.now.Add(time.Hour)
	for _, m := range f.members {
		if m.Elected(f.now, core.StoreAccess{Down: true, Watching: true}, true, f.othersOf(m)) {
			tries++
		}
	}
	is.Equal(tries, readers+outageReaders)
}
