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

// TestSums guards against load that is counted twice, or that remains after an instance stops sending reports.
func TestSums(t *testing.T) {
	is := is.New(t)
	table := tally.New()
	table.AddOwn("e", tally.Load{Calls: 1, Tokens: 100, PrefillTokens: 50, UncopiedTokens: 100})
	table.ReplacePeer(start, start.Add(1500*time.Millisecond), "p", map[core.EndpointID]tally.Load{"e": {Calls: 2, Tokens: 30}})
	table.ReplacePeer(start, start.Add(1500*time.Millisecond), "p", map[core.EndpointID]tally.Load{"e": {Calls: 3, Tokens: 40}})
	table.ReplacePeer(start.Add(time.Second), start.Add(2500*time.Millisecond), "q", map[core.EndpointID]tally.Load{"e": {Calls: 1}})
	is.Equal(table.Load(start.Add(time.Second), "e"), tally.Load{Calls: 5, Tokens: 140, PrefillTokens: 50, UncopiedTokens: 100})
	is.Equal(table.Load(start.Add(2*time.Second), "e").Calls, 2) // the report of p has expired
	is.Equal(table.Load(start.Add(9*time.Second), "e").Calls, 1)
	table.AddOwn("e", tally.Load{Calls: -1, Tokens: -100, PrefillTokens: -50, UncopiedTokens: -100})
	is.Equal(len(table.OwnLoads(start)), 0)
}

// TestOutcomes guards against an endpoint that is avoided because of failures older than the window.
func TestOutcomes(t *testing.T) {
	is := is.New(t)
	table := tally.New()
	table.RecordOutcome(start, "e", true)
	table.RecordOutcome(start.Add(time.Second), "e", false)
	is.Equal(table.Load(start.Add(time.Second), "e"), tally.Load{Failed: 1, Ended: 2})
	is.Equal(table.Load(start.Add(3*time.Second), "e"), tally.Load{Failed: 1, Ended: 2}) // in the previous half
	is.Equal(table.Load(start.Add(20*time.Second), "e"), tally.Load{})
}

// TestWaiting guards against waiting calls that remain counted after their instance stops sending reports.
func TestWaiting(t *testing.T) {
	is := is.New(t)
	table := tally.New()
	table.SetPeerWaiting("p", 9) // never reported
	table.ReplacePeer(start, start.Add(time.Second), "p", nil)
	table.SetPeerWaiting("p", 3)
	table.ReplacePeer(start, start.Add(time.Second), "p", nil)
	table.SetPeerWaiting("p", 2)
	table.AddWaiting(1)
	own, all := table.WaitingCalls(start)
	is.Equal([]int{own, all}, []int{1, 3})
	own, all = table.WaitingCalls(start.Add(2 * time.Second))
	is.Equal([]int{own, all}, []int{1, 1})
}

// TestUpdates guards against incremental updates that yield a different sum than a full report.
func TestUpdates(t *testing.T) {
	is := is.New(t)
	type loadMap = map[core.EndpointID]tally.Load
	table := tally.New()
	table.UpdatePeer(start, "p", loadMap{"e": {Calls: 7}}) // never reported
	is.Equal(table.Load(start, "e"), tally.Load{})
	table.ReplacePeer(start, start.Add(time.Second), "p", loadMap{"e": {Calls: 2, Tokens: 20}, "f": {Calls: 1}})
	table.UpdatePeer(start, "p", loadMap{"e": {Calls: 1, Tokens: 10}, "g": {Calls: 4}})
	table.UpdatePeer(start, "p", loadMap{"f": {}})
	is.Equal(table.Load(start, "e"), tally.Load{Calls: 1, Tokens: 10})
	is.Equal(table.Load(start, "f"), tally.Load{})
	is.Equal(table.Load(start, "g"), tally.Load{Calls: 4})
	is.Equal(table.Load(start.Add(2*time.Second), "e"), tally.Load{}) // the report of p has expired
}

// TestChanged guards against a change that is missing from the datagrams, and one that is sent twice.
func TestChanged(t *testing.T) {
	is := is.New(t)
	table := tally.New()
	table.AddOwn("e", tally.Load{Calls: 1})
	table.AddOwn("f", tally.Load{Calls: 1})
	table.AddOwn("f", tally.Load{Calls: -1})
	is.Equal(table.TakeChanged(start), map[core.EndpointID]tally.Load{"e": {Calls: 1}, "f": {}})
	is.Equal(len(table.TakeChanged(start)), 0)
	table.AddOwn("e", tally.Load{Calls: 1})
	is.Equal(table.TakeChanged(start), map[core.EndpointID]tally.Load{"e": {Calls: 2}})
}

// TestChanges guards against changes that do not increase the counter and so are not sent to the peers.
func TestChanges(t *testing.T) {
	is := is.New(t)
	table := tally.New()
	before := table.ChangeCount()
	table.AddOwn("e", tally.Load{Calls: 1})
	is.True(table.ChangeCount() > before)
}

// TestSumsOfManyReports guards against incrementally updated sums that differ from the sum of the reports.
func TestSumsOfManyReports(t *testing.T) {
	is := is.New(t)
	const instances, engines, steps = 20, 6, 2000
	r := rand.New(rand.NewPCG(1, 2))
	table := tally.New()
	type report struct {
		until time.Time
		loads map[core.EndpointID]tally.Load
	}
	reports := map[core.InstanceID]report{}
	now := start
	for range steps {
		now = now.Add(time.Duration(r.Int64N(int64(30 * time.Millisecond))))
		loads := map[core.EndpointID]tally.Load{}
		for range r.IntN(4) {
			loads[core.EndpointID(strconv.Itoa(r.IntN(engines)))] = tally.Load{Calls: r.IntN(9), Tokens: core.Tokens(r.IntN(99)), Failed: r.IntN(3)}
		}
		from := core.InstanceID(strconv.Itoa(r.IntN(instances)))
		reports[from] = report{until: now.Add(time.Second), loads: loads}
		table.ReplacePeer(now, reports[from].until, from, loads)
		for e := range engines {
			id := core.EndpointID(strconv.Itoa(e))
			want := tally.Load{}
			for _, p := range reports {
				if load := p.loads[id]; !now.After(p.until) {
					want.Calls += load.Calls
					want.Tokens += load.Tokens
					want.Failed += load.Failed
				}
			}
			is.Equal(table.Load(now, id), want)
		}
	}
}

// BenchmarkReplacePeer measures the cost of one report in a fleet of 126 instances with 60 engines.
func BenchmarkReplacePeer(b *testing.B) {
	table := tally.New()
	loads := map[core.EndpointID]tally.Load{}
	for e := range 10 {
		loads[core.EndpointID(strconv.Itoa(e))] = tally.Load{Calls: 1, Tokens: 100}
	}
	now := start
	for i := range b.N {
		now = now.Add(5 * time.Millisecond)
		table.ReplacePeer(now, now.Add(10*time.Second), core.InstanceID(strconv.Itoa(i%126)), loads)
	}
}
