package tally_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/core/tally"
)

var start = time.Unix(1000, 0)

// TestSums guards against load that is counted twice, or that a silent instance leaves behind.
func TestSums(t *testing.T) {
	is := is.New(t)
	y := tally.New()
	y.Add("e", tally.Use{Calls: 1, Tokens: 100, Unread: 50, Bare: 100})
	y.Report(start, start.Add(1500*time.Millisecond), "p", map[core.EndpointID]tally.Use{"e": {Calls: 2, Tokens: 30}})
	y.Report(start, start.Add(1500*time.Millisecond), "p", map[core.EndpointID]tally.Use{"e": {Calls: 3, Tokens: 40}})
	y.Report(start.Add(time.Second), start.Add(2500*time.Millisecond), "q", map[core.EndpointID]tally.Use{"e": {Calls: 1}})
	is.Equal(y.Of(start.Add(time.Second), "e"), tally.Use{Calls: 5, Tokens: 140, Unread: 50, Bare: 100})
	is.Equal(y.Of(start.Add(2*time.Second), "e").Calls, 2) // p is silent
	is.Equal(y.Of(start.Add(9*time.Second), "e").Calls, 1)
	y.Add("e", tally.Use{Calls: -1, Tokens: -100, Unread: -50, Bare: -100})
	is.Equal(len(y.Own(start)), 0)
}

// TestOutcomes guards against an endpoint that is judged by failures of long ago.
func TestOutcomes(t *testing.T) {
	is := is.New(t)
	y := tally.New()
	y.End(start, "e", true)
	y.End(start.Add(time.Second), "e", false)
	is.Equal(y.Of(start.Add(time.Second), "e"), tally.Use{Failed: 1, Ended: 2})
	is.Equal(y.Of(start.Add(3*time.Second), "e"), tally.Use{Failed: 1, Ended: 2}) // in the half before
	is.Equal(y.Of(start.Add(20*time.Second), "e"), tally.Use{})
}

// TestWaiting guards against calls that are counted as waiting after their instance has fallen silent.
func TestWaiting(t *testing.T) {
	is := is.New(t)
	y := tally.New()
	y.ReportWaiting("p", 9) // never reported
	y.Report(start, start.Add(time.Second), "p", nil)
	y.ReportWaiting("p", 3)
	y.Report(start, start.Add(time.Second), "p", nil)
	y.ReportWaiting("p", 2)
	y.Wait(1)
	own, all := y.Waiting(start)
	is.Equal([]int{own, all}, []int{1, 3})
	own, all = y.Waiting(start.Add(2 * time.Second))
	is.Equal([]int{own, all}, []int{1, 1})
}

// TestUpdates guards against changes that are told one by one and add up to something else than a whole report.
func TestUpdates(t *testing.T) {
	is := is.New(t)
	type uses = map[core.EndpointID]tally.Use
	y := tally.New()
	y.Update(start, "p", uses{"e": {Calls: 7}}) // never reported
	is.Equal(y.Of(start, "e"), tally.Use{})
	y.Report(start, start.Add(time.Second), "p", uses{"e": {Calls: 2, Tokens: 20}, "f": {Calls: 1}})
	y.Update(start, "p", uses{"e": {Calls: 1, Tokens: 10}, "g": {Calls: 4}})
	y.Update(start, "p", uses{"f": {}})
	is.Equal(y.Of(start, "e"), tally.Use{Calls: 1, Tokens: 10})
	is.Equal(y.Of(start, "f"), tally.Use{})
	is.Equal(y.Of(start, "g"), tally.Use{Calls: 4})
	is.Equal(y.Of(start.Add(2*time.Second), "e"), tally.Use{}) // p is silent
}

// TestChanged guards against a change that no datagram tells, and one that is told twice.
func TestChanged(t *testing.T) {
	is := is.New(t)
	y := tally.New()
	y.Add("e", tally.Use{Calls: 1})
	y.Add("f", tally.Use{Calls: 1})
	y.Add("f", tally.Use{Calls: -1})
	is.Equal(y.Changed(start), map[core.EndpointID]tally.Use{"e": {Calls: 1}, "f": {}})
	is.Equal(len(y.Changed(start)), 0)
	y.Add("e", tally.Use{Calls: 1})
	is.Equal(y.Changed(start), map[core.EndpointID]tally.Use{"e": {Calls: 2}})
}

// TestChanges guards against changes that other instances are not told of.
func TestChanges(t *testing.T) {
	is := is.New(t)
	y := tally.New()
	before := y.Changes()
	y.Add("e", tally.Use{Calls: 1})
	is.True(y.Changes() > before)
}

// TestSumsOfManyReports guards against sums that drift from the reports, as they are changed by differences only.
func TestSumsOfManyReports(t *testing.T) {
	is := is.New(t)
	const instances, endpoints, steps = 20, 6, 2000
	r := rand.New(rand.NewPCG(1, 2))
	y := tally.New()
	type report struct {
		until time.Time
		uses  map[core.EndpointID]tally.Use
	}
	reports := map[core.InstanceID]report{}
	now := start
	for range steps {
		now = now.Add(time.Duration(r.Int64N(int64(30 * time.Millisecond))))
		uses := map[core.EndpointID]tally.Use{}
		for range r.IntN(4) {
			uses[core.EndpointID(strconv.Itoa(r.IntN(endpoints)))] = tally.Use{Calls: r.IntN(9), Tokens: core.Tokens(r.IntN(99)), Failed: r.IntN(3)}
		}
		from := core.InstanceID(strconv.Itoa(r.IntN(instances)))
		reports[from] = report{until: now.Add(time.Second), uses: uses}
		y.Report(now, reports[from].until, from, uses)
		for e := range endpoints {
			id := core.EndpointID(strconv.Itoa(e))
			want := tally.Use{}
			for _, p := range reports {
				if u := p.uses[id]; !now.After(p.until) {
					want.Calls += u.Calls
					want.Tokens += u.Tokens
					want.Failed += u.Failed
				}
			}
			is.Equal(y.Of(now, id), want)
		}
	}
}

// BenchmarkReport measures the cost of one report in a fleet of 126 instances with 60 engines.
func BenchmarkReport(b *testing.B) {
	y := tally.New()
	uses := map[core.EndpointID]tally.Use{}
	for e := range 10 {
		uses[core.EndpointID(strconv.Itoa(e))] = tally.Use{Calls: 1, Tokens: 100}
	}
	now := start
	for i := range b.N {
		now = now.Add(5 * time.Millisecond)
		y.Report(now, now.Add(10*time.Second), core.InstanceID(strconv.Itoa(i%126)), uses)
	}
}
