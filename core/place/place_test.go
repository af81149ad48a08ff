package place_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/core/fleet"
	"snipeshed/core/place"
	"snipeshed/core/tally"
)

var now = time.Unix(1000, 0)

func service() core.Service {
	return core.Service{Name: "lm", Engine: &core.EngineLimits{
		Slots: 24, Capacity: 34_000, TokenBytes: 96_256, LinkMbps: 14_000, HoldTime: time.Second, Moves: true, Backups: true,
	}}
}

func fleetOf(n int) []*fleet.Status {
	var out []*fleet.Status
	for i := range n {
		out = append(out, &fleet.Status{Endpoint: core.Endpoint{
			ID: core.EndpointID(fmt.Sprint("e", i)), Service: "lm", Slots: 6, Domain: core.FailureDomain(fmt.Sprint("d", i%3)),
		}})
	}
	return out
}

var long = place.Demand{Tokens: 3500, Unread: 3000, Long: true}

// TestManyInstances guards against herds: instances that hear of each other's calls at once spread them evenly
// (pattern: a surge over many entry instances).
func TestManyInstances(t *testing.T) {
	is := is.New(t)
	all := fleetOf(9)
	tallies := make([]*tally.Tally, 13)
	places := make([]*place.Place, len(tallies))
	own := make([]map[core.EndpointID]tally.Use, len(tallies))
	for i := range tallies {
		tallies[i] = tally.New()
		places[i] = place.New("d0", tallies[i])
		own[i] = map[core.EndpointID]tally.Use{}
	}
	calls := map[core.EndpointID]int{}
	for i := range 45 {
		at := i % len(tallies)
		e := places[at].Choose(now, service(), all, long, nil)
		use := tally.Use{Calls: 1, Tokens: long.Tokens, Unread: long.Unread}
		tallies[at].Add(e.ID, use)
		o := own[at][e.ID]
		own[at][e.ID] = tally.Use{Calls: o.Calls + 1, Tokens: o.Tokens + use.Tokens, Unread: o.Unread + use.Unread}
		calls[e.ID]++
		for j, other := range tallies {
			if j != at {
				other.Report(now, now.Add(time.Minute), core.InstanceID(fmt.Sprint(at)), own[at])
			}
		}
	}
	for id, n := range calls {
		is.True(n >= 4 && n <= 6) // id
		_ = id
	}
}

// TestSurgeOfLongWork guards against new long generations that take the memory which short calls and generations on
// their way from another engine need (pattern: a surge of long work while engines are taken away).
func TestSurgeOfLongWork(t *testing.T) {
	is := is.New(t)
	all := fleetOf(1)
	y := tally.New()
	p := place.New("d0", y)
	n := 0
	for !p.Full(now, service(), all, long) {
		y.Add("e0", tally.Use{Calls: 1, Tokens: long.Tokens})
		n++
	}
	is.True(n >= 5)
	short := place.Demand{Tokens: 2500, Unread: 2500}
	is.True(!p.Full(now, service(), all, short))
	source := core.Endpoint{ID: "other", Domain: "d0"}
	is.True(p.Copy(now, service(), all, source, place.Demand{Tokens: 3500}, true, nil) != nil)  // it must leave
	is.True(p.Copy(now, service(), all, source, place.Demand{Tokens: 3500}, false, nil) == nil) // it may stay
	is.True(p.Crowded(now, service(), all[0], short))
}

// TestLargestCalls guards against the largest calls that never find room while smaller ones do.
func TestLargestCalls(t *testing.T) {
	is := is.New(t)
	all := fleetOf(1)
	y := tally.New()
	p := place.New("d0", y)
	large := place.Demand{Tokens: 33_000, Unread: 30_000, Long: true}
	is.True(!p.Full(now, service(), all, large))
	y.Add("e0", tally.Use{Calls: 1, Tokens: 3000})
	is.True(p.Full(now, service(), all, large))
}

// TestBacklog guards against long generations that wait behind the prompts of others although their engine has memory
// (seen on hrc-kyushu trouble-2: all that had waited went to one new engine and began after up to 9 s).
func TestBacklog(t *testing.T) {
	is := is.New(t)
	all := fleetOf(1)
	y := tally.New()
	p := place.New("d0", y)
	y.Add("e0", tally.Use{Calls: 4, Tokens: 12_000, Unread: 12_000})
	is.True(p.Full(now, service(), all, long))
	y.Add("e0", tally.Use{Unread: -9_000})
	is.True(!p.Full(now, service(), all, long))
}

// TestPassedOver guards against calls to endpoints that leave, were tried, take no connections or fail (patterns:
// engines taken away, a crash, a grey endpoint).
func TestPassedOver(t *testing.T) {
	is := is.New(t)
	all := fleetOf(5)
	all[0].Leaving = true
	all[1].Unreachable = now.Add(time.Second)
	y := tally.New()
	for range 10 {
		y.End(now, "e2", true)
		y.End(now, "e3", false)
		y.End(now, "e4", false)
	}
	p := place.New("d0", y)
	plain := core.Service{Name: "app"}
	for range 50 {
		is.Equal(p.Choose(now, plain, all, place.Demand{}, map[core.EndpointID]bool{"e4": true}).ID, core.EndpointID("e3"))
	}
	all[3].Unreachable, all[4].Unreachable, all[2].Unreachable = all[1].Unreachable, all[1].Unreachable, all[1].Unreachable
	is.True(p.Choose(now, plain, all, place.Demand{}, nil) != nil) // better one that may be back than none
	is.True(p.Choose(now, plain, all[:1], place.Demand{}, nil) == nil)
}

// TestErrorsOfTheKind guards against an endpoint that is avoided for failures that all endpoints of its service show
// alike, as some calls fail wherever they run.
func TestErrorsOfTheKind(t *testing.T) {
	is := is.New(t)
	all := fleetOf(3)
	y := tally.New()
	for i, e := range all {
		for j := range 20 {
			y.End(now, e.ID, j%7 == i%7)
		}
	}
	p := place.New("none", y)
	counts := map[core.EndpointID]int{}
	for range 300 {
		counts[p.Choose(now, core.Service{}, all, place.Demand{}, nil).ID]++
	}
	for _, e := range all {
		is.True(counts[e.ID] > 30)
	}
}

// TestCopies guards against copies that a link carries too slowly or that engines cannot take.
func TestCopies(t *testing.T) {
	is := is.New(t)
	all := fleetOf(4) // e0 and e3 in d0
	y := tally.New()
	p := place.New("d0", y)
	source := all[0].Endpoint
	d := place.Demand{Tokens: 3500}
	is.Equal(p.Copy(now, service(), all, source, d, false, nil).ID, core.EndpointID("e3")) // its own failure domain
	is.True(p.Copy(now, service(), all, source, d, true, map[core.EndpointID]bool{"e3": true}).ID != "e3")
	for _, e := range all {
		y.Add(e.ID, tally.Use{Tokens: 18_000})
	}
	is.True(p.Copy(now, service(), all, source, d, false, nil) == nil)
	y.Add("e0", tally.Use{Bare: 18_000}) // more than the source could move after a notice
	is.True(p.Copy(now, service(), all, source, d, false, nil) != nil)
	all[3].Warm = now.Add(time.Second)
	is.True(p.Copy(now, service(), all, source, d, false, nil).ID != "e3")
}

// TestLateNews guards against herds between failure domains: in a large fleet the instances of a domain whose engines are
// full know the load of other domains late, and must not all send their calls to the same engine there (pattern: a surge
// in one failure domain).
func TestLateNews(t *testing.T) {
	is := is.New(t)
	const instances, engines = 36, 30
	var all []*fleet.Status
	for i := range engines {
		all = append(all, &fleet.Status{Endpoint: core.Endpoint{
			ID: core.EndpointID(fmt.Sprint("e", i)), Service: "lm", Domain: core.FailureDomain(fmt.Sprint("d", i%2)),
		}})
	}
	calls, most := map[core.EndpointID]int{}, 0
	for range instances {
		y := tally.New()
		uses := map[core.EndpointID]tally.Use{}
		for j, e := range all {
			if e.Domain == "d0" {
				uses[e.ID] = tally.Use{Calls: 9, Tokens: 33_000}
			} else {
				uses[e.ID] = tally.Use{Calls: 1, Tokens: core.Tokens(3000 + 10*j)}
			}
		}
		y.Report(now, now.Add(time.Minute), "peer", uses)
		p := place.New("d0", y, place.WithInstances(func() int { return 126 }))
		e := p.Choose(now, service(), all, long, nil)
		is.Equal(e.Domain, core.FailureDomain("d1")) // d0 is full
		calls[e.ID]++
		most = max(most, calls[e.ID])
	}
	is.True(most <= 12) // evenly 2.4; without a spread 36
}

// TestOwnDomain guards against calls that go to another failure domain for a difference that is older than the choice
// (pattern: a calm large fleet).
func TestOwnDomain(t *testing.T) {
	is := is.New(t)
	all := fleetOf(6)
	y := tally.New()
	y.Report(now, now.Add(time.Minute), "peer", map[core.EndpointID]tally.Use{"e0": {Calls: 1, Tokens: 2500}, "e3": {Calls: 1, Tokens: 2500}})
	large := place.New("d0", y, place.WithInstances(func() int { return 126 }))
	for range 50 {
		is.Equal(large.Choose(now, service(), all, long, nil).Domain, core.FailureDomain("d0"))
	}
	y.Report(now, now.Add(time.Minute), "peer", map[core.EndpointID]tally.Use{
		"e0": {Calls: 2, Tokens: 7000, Unread: 6000}, "e3": {Calls: 2, Tokens: 7000, Unread: 6000},
	})
	is.True(large.Choose(now, service(), all, long, nil).Domain != core.FailureDomain("d0")) // two prompts are read there first
}
