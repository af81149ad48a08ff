package evac_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/core/evac"
	"snipeshed/stand/revs"
)

// TestRestore guards against evacuations that end, or never end, because the store has come back from a copy of itself.
func TestRestore(t *testing.T) {
	a, b := []core.FailureDomain{"a"}, []core.FailureDomain{"b"}
	var none []core.FailureDomain
	second := start.Add(time.Second)
	for _, tt := range []struct {
		name    string
		happens func(d *evac.Domains) // after "a" was evacuated at revision 8 of era 0
		want    []core.FailureDomain
	}{
		{"a lower revision of a later era", func(d *evac.Domains) {
			d.Replace(second, revs.In(1, 5), a)
			d.Change(second, revs.In(1, 6), "a", false)
		}, none},
		{"a higher revision of an earlier era", func(d *evac.Domains) { d.Replace(second, revs.In(1, 5), a); d.Replace(second, revs.In(0, 9), none) }, a},
		{"the copy lacks it", func(d *evac.Domains) { d.Replace(second, revs.In(1, 5), none) }, a},
		{"the copy lacks it, and another one is evacuated", func(d *evac.Domains) { d.Replace(second, revs.In(1, 5), b) }, []core.FailureDomain{"a", "b"}},
		{"written again", func(d *evac.Domains) {
			d.Replace(second, revs.In(1, 5), none)
			d.Change(second, revs.In(1, 8), "a", true)
		}, a},
		{"written again and taken back", func(d *evac.Domains) {
			d.Replace(second, revs.In(1, 5), none)
			d.Change(second, revs.In(1, 8), "a", true)
			d.Change(second, revs.In(1, 9), "a", false)
		}, none},
		{"the same, seen as whole sets", func(d *evac.Domains) {
			d.Replace(second, revs.In(1, 5), none)
			d.Replace(second, revs.In(1, 8), a)
			d.Replace(second, revs.In(1, 9), none)
		}, none},
		{"written again, taken back and evacuated", func(d *evac.Domains) {
			d.Replace(second, revs.In(1, 5), none)
			d.Replace(second, revs.In(1, 8), a)
			d.Replace(second, revs.In(1, 9), none)
			d.Replace(second, revs.In(1, 10), a)
		}, a},
		{"never written again", func(d *evac.Domains) {
			d.Replace(second, revs.In(1, 5), none)
			d.Expire(second.Add(evac.EarlierTimeout - time.Second))
			d.Expire(second.Add(evac.EarlierTimeout))
		}, none},
		{"two returns in a row", func(d *evac.Domains) {
			d.Replace(second, revs.In(1, 5), none)
			d.Replace(second.Add(evac.EarlierTimeout/2), revs.In(2, 3), none)
			d.Expire(second.Add(evac.EarlierTimeout))
		}, a},
		{"taken back between two returns", func(d *evac.Domains) {
			d.Replace(second, revs.In(1, 5), none)
			d.Change(second, revs.In(1, 6), "a", true)
			d.Change(second, revs.In(1, 7), "a", false)
			d.Replace(second, revs.In(2, 5), none)
		}, none},
		{"an instance of an older version takes it back", func(d *evac.Domains) {
			d.Replace(second, revs.In(1, 5), a)
			d.Merge(second, evac.State{Present: evac.Set{Revision: revs.At(6)}})
		}, none},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := evac.New(func([]core.FailureDomain) {})
			d.Replace(start, revs.In(0, 7), none)
			d.Change(start, revs.In(0, 8), "a", true)
			tt.happens(d)
			is.True(slices.Equal(d.Get(), tt.want)) // d.Get()
		})
	}
}

// TestMergeAfterRestore guards against instances that differ in what they know of the store before it came back, in whatever order their
// messages arrive.
func TestMergeAfterRestore(t *testing.T) {
	a := []core.FailureDomain{"a"}
	var none []core.FailureDomain
	later := start.Add(time.Minute)
	for _, tt := range []struct {
		name string
		// what each of three instances has seen
		seen [3]func(d *evac.Domains)
		want []core.FailureDomain
	}{
		{"one knows that it was evacuated", [3]func(*evac.Domains){
			func(d *evac.Domains) { d.Replace(start, revs.In(0, 7), a); d.Replace(later, revs.In(1, 5), none) },
			func(d *evac.Domains) { d.Replace(start, revs.In(0, 6), none); d.Replace(later, revs.In(1, 5), none) },
			func(d *evac.Domains) { d.Replace(later, revs.In(1, 5), none) }, // has started since
		}, a},
		{"one knows that it was taken back", [3]func(*evac.Domains){
			func(d *evac.Domains) { d.Replace(start, revs.In(0, 7), a); d.Replace(later, revs.In(1, 5), none) },
			func(d *evac.Domains) { d.Replace(start, revs.In(0, 8), none); d.Replace(later, revs.In(1, 5), none) },
			func(d *evac.Domains) { d.Replace(later, revs.In(1, 5), none) },
		}, none},
		{"one has not seen the new era", [3]func(*evac.Domains){
			func(d *evac.Domains) { d.Replace(start, revs.In(0, 7), a) },
			func(d *evac.Domains) { d.Replace(start, revs.In(0, 6), none); d.Replace(later, revs.In(1, 5), none) },
			func(d *evac.Domains) { d.Replace(later, revs.In(1, 5), none) },
		}, a},
		{"one that has started since has seen how it was written again and taken back", [3]func(*evac.Domains){
			func(d *evac.Domains) { d.Replace(start, revs.In(0, 7), a) },
			func(d *evac.Domains) { d.Replace(start, revs.In(0, 7), a); d.Replace(later, revs.In(1, 5), none) },
			func(d *evac.Domains) { d.Replace(later, revs.In(1, 6), a); d.Replace(later, revs.In(1, 7), none) },
		}, none},
		{"two returns, and one that never knew it has seen more of the era between", [3]func(*evac.Domains){
			func(d *evac.Domains) {
				d.Replace(start, revs.In(0, 7), a)
				d.Replace(start, revs.In(1, 4), none)
				d.Replace(later, revs.In(2, 3), none)
			},
			func(d *evac.Domains) {
				d.Replace(start, revs.In(0, 3), none)
				d.Replace(start, revs.In(1, 9), none)
				d.Replace(later, revs.In(2, 3), none)
			},
			func(*evac.Domains) {},
		}, a},
		{"its end was in the era between two returns, seen by two only together", [3]func(*evac.Domains){
			func(d *evac.Domains) {
				d.Replace(start, revs.In(0, 7), a)
				d.Replace(start, revs.In(1, 5), a)
				d.Replace(later, revs.In(2, 3), none)
			},
			func(d *evac.Domains) { d.Replace(start, revs.In(1, 6), none); d.Replace(later, revs.In(2, 3), none) },
			func(*evac.Domains) {},
		}, none},
		{"two returns, of which one saw only the second", [3]func(*evac.Domains){
			func(d *evac.Domains) { d.Replace(start, revs.In(0, 7), a); d.Replace(later, revs.In(2, 3), none) },
			func(d *evac.Domains) {
				d.Replace(start, revs.In(0, 7), a)
				d.Replace(start, revs.In(1, 5), none)
				d.Replace(later, revs.In(2, 3), none)
			},
			func(*evac.Domains) {},
		}, a},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(50) {
				r := rand.New(rand.NewPCG(seed, 0))
				var all []*evac.Domains
				for _, seen := range tt.seen {
					d := evac.New(func([]core.FailureDomain) {})
					seen(d)
					all = append(all, d)
				}
				for range 100 {
					if s := all[r.IntN(3)].State(later); !s.Present.Revision.IsZero() {
						all[r.IntN(3)].Merge(later, s)
					}
				}
				for _, d := range all {
					is.True(slices.Equal(d.Get(), tt.want)) // d.Get()
				}
			}
		})
	}
}

// TestInstanceOfEarlierEra guards against an evacuation that only an instance knows which has not seen the present era of the store, and
// against one that such an instance still knows long after.
func TestInstanceOfEarlierEra(t *testing.T) {
	is := is.New(t)
	behind, d := evac.New(func([]core.FailureDomain) {}), evac.New(func([]core.FailureDomain) {})
	behind.Replace(start, revs.In(0, 8), []core.FailureDomain{"a"})
	d.Replace(start, revs.In(0, 7), nil)
	d.Replace(start, revs.In(1, 5), nil)
	d.Merge(start, behind.State(start))
	is.Equal(len(d.Get()), 1)
	late := start.Add(evac.EarlierTimeout)
	d.Expire(late)
	d.Merge(late, behind.State(late))
	is.Equal(len(d.Get()), 0)
}

// TestEarlierIsNotRenewed guards against evacuations of an earlier era that count for good, as instances tell each other of them again and
// again.
func TestEarlierIsNotRenewed(t *testing.T) {
	is := is.New(t)
	x, y := evac.New(func([]core.FailureDomain) {}), evac.New(func([]core.FailureDomain) {})
	x.Replace(start, revs.In(0, 7), []core.FailureDomain{"a"})
	x.Replace(start, revs.In(1, 5), nil)
	y.Replace(start, revs.In(0, 6), nil)
	y.Replace(start.Add(time.Minute), revs.In(1, 5), nil) // lets it count for longer
	now := start.Add(time.Minute)
	for now.Before(start.Add(evac.EarlierTimeout)) {
		is.Equal(len(x.Get()), 1)
		x.Merge(now, y.State(now))
		y.Merge(now, x.State(now))
		now = now.Add(10 * time.Second)
	}
	for _, d := range []*evac.Domains{x, y} {
		d.Expire(now)
		is.Equal(len(d.Get()), 0)
		is.Equal(d.State(now).EarlierLeft, time.Duration(0))
	}
}

// TestFirstEra guards against an evacuation that counts for longer because the set was known from an instance of an older version, which
// names no era.
func TestFirstEra(t *testing.T) {
	is := is.New(t)
	d := evac.New(func([]core.FailureDomain) {})
	d.Replace(start, revs.At(8), []core.FailureDomain{"a"})
	d.Replace(start, revs.In(0, 9), nil)
	is.Equal(len(d.Get()), 0)
}
