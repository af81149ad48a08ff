package proof

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/conf"
	"snipeshed/core"
	"snipeshed/stand/caller"
	"snipeshed/stand/fleet"
)

// partitionTime is longer than the vouch limit, so that a side without the store must vouch for itself.
const partitionTime = 12 * time.Second

// neverBack reports a configuration that goes back at any instance until the test ends.
func (w *world) neverBack() {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		w.Watch(func() bool { return w.t.Context().Err() != nil }, func(n *fleet.Node, from, to core.TicketNumber) {
			w.t.Errorf("%s went back from ticket %d to %d", n.ID, from, to)
		})
	}()
	w.t.Cleanup(func() { <-ended })
}

// TestPartition guards against streams that end without an honest error, a side that stops serving although it holds half
// of the instances, one that serves on although it holds fewer and has no store, tickets accepted on the side without the
// store, and tickets that are not in force soon after the partition has healed.
func TestPartition(t *testing.T) {
	t.Parallel()
	regions, domains := [2]string{"south", "north"}, [2]string{"north", "north"}
	tests := []struct {
		name    string
		regions [2]string
		of      []int
		output  int
		change  func(*conf.Settings)
		// limit is the vouch limit of a side 1 that must stop taking calls; 0 stands for one that goes on.
		limit time.Duration
	}{
		{name: "regions", regions: regions, of: []int{0, 1, 0, 1, 0, 1}, output: 400, change: func(*conf.Settings) {}},
		// Suspicions and the breaker's delay are at their limits, as after some minutes. Two thirds of the instances are
		// without the store; they vouch for each other and so have no other reason to ask suspects.
		{name: "regions, for long", regions: regions, of: []int{0, 1, 1, 0, 1, 1}, output: 400, change: func(s *conf.Settings) {
			s.SuspectMs, s.BreakerRetryMs = 40_000, 16_000
		}},
		{name: "failure domains of one region", regions: domains, of: []int{0, 1, 0, 1, 0, 1}, output: 400, change: func(s *conf.Settings) {
			s.PoolSize = 2
		}},
		// A third of the instances is without the store. Its streams last longer than the vouch limit.
		{name: "regions, small side", regions: regions, of: []int{0, 0, 1, 0, 0, 1}, output: 900, change: func(s *conf.Settings) {
			s.VouchLimitMs = 3000
		}, limit: 3 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s, err := fleet.StartSides(tt.regions, tt.of, options(t, []fleet.Option{fleet.WithListLag(time.Second), fleet.WithSettings(tt.change)})...)
			var f *fleet.Fleet
			if s != nil {
				f = s.Fleet
			}
			w := newWorld(t, f, err)
			w.neverBack()
			// Streams cross the partition on the way to the owner or from it to the engine.
			across := tt.regions[0] == tt.regions[1]
			for i, n := range w.Nodes {
				across = across || n.ID == n.Owner(core.PoolID(fleet.Model+"@"+tt.regions[1-s.Of[i]]+"/0"))
			}
			is.True(across)

			// Streams that run while the partition begins, two at each instance.
			var streams caller.Group
			began := w.Started()
			for i := range 2 * len(w.Nodes) {
				streams.Go(w.client, w.Nodes[i%len(w.Nodes)].ClientAddress(), ask{Output: tt.output})
			}
			is.NoErr(fleet.Wait(startLimit, "streams run", func() bool { return w.Started() == began+2*len(w.Nodes) }))
			s.Partition()
			cut := time.Now()
			base := uint64(w.Nodes[0].Ticket())

			// New requests on both sides, and tickets.
			pause := time.Duration(0)
			if tt.limit > 0 {
				pause = 20 * time.Millisecond // refusals are immediate
			}
			loads := make([]*caller.Load, len(w.Nodes))
			for i, n := range w.Nodes {
				loads[i] = startLoad(t, caller.At(w.client, n.ClientAddress()), caller.WithOutput(20), caller.WithTimeout(10*time.Second), caller.WithPause(pause))
			}
			large, small := s.Side(0), s.Side(1)
			first, terr := large[0].Try(fleet.TeamTicket("nagasaki", "morning", base, 11))
			is.True(terr == nil) // the side with the store takes tickets
			var stale time.Time  // when all of side 1 refused
			if tt.limit > 0 {
				for _, n := range small {
					is.NoErr(fleet.Wait(tt.limit+resumeSlack, "refuses new calls", func() bool { return !n.Ready() }))
				}
				stale = time.Now()
				is.True(w.Runners[1].State().OpenStreams+w.Runners[3].State().OpenStreams > 0) // streams of side 1 still run
			}
			for time.Since(cut) < partitionTime {
				_, terr = small[0].Try(fleet.TeamTicket("oita", "afternoon", base, 12))
				is.True(terr != nil) // the other side refuses them
				is.Equal(terr.Kind, core.KindStoreDown)
				is.Equal(terr.Run, core.RunNot)
				time.Sleep(200 * time.Millisecond)
			}
			last, terr := large[0].Try(fleet.TeamTicket("omuta", "morning", first, 13))
			is.True(terr == nil)
			for i, l := range loads {
				results := l.Close()
				kinds := results.Kinds()
				t.Logf("new requests at instance %d on side %d: %v", i, s.Of[i], kinds)
				for _, err := range results.Check(caller.IsHonest) {
					t.Errorf("instance %d: %v", i, err)
				}
				switch {
				case tt.limit == 0:
					if kinds["complete"]*10 < len(results)*9 {
						t.Errorf("instance %d completed only %d of %d new requests", i, kinds["complete"], len(results))
					}
				case s.Of[i] == 0:
					is.Equal(kinds["complete"], len(results)) // nothing fails on the large side
				default:
					refused := results.Since(stale)
					is.True(len(refused) > 0)
					for _, r := range refused {
						if r.Err == nil || r.Err.Kind != core.KindStaleState || !r.NotRun() || w.Starts(core.RequestID(r.Err.RequestID)) > 0 {
							t.Errorf("instance %d has neither the store nor half of the instances: %s", i, r)
						}
					}
				}
			}
			for i, n := range w.Nodes {
				is.Equal(n.Ready(), tt.limit == 0 || s.Of[i] == 0) // also a side that must vouch for itself
				is.Equal(n.Ticket() >= core.TicketNumber(first), s.Of[i] == 0)
			}
			results := streams.Wait()
			check := caller.IsHonest
			if tt.limit > 0 {
				check = caller.IsComplete
			}
			for _, err := range results.Check(check) {
				t.Error(err)
			}
			is.NoErr(s.Heal())
			healed := time.Now()
			is.NoErr(w.WaitTicket(ticketBound, last))
			inForce := time.Since(healed)
			is.NoErr(w.WaitReady(ticketBound - inForce))
			t.Logf("running streams: %v; ticket in force everywhere %s and all ready %s after healing", results.Kinds(), inForce, time.Since(healed))
			for _, n := range w.Nodes {
				is.Equal(n.Ticket(), core.TicketNumber(last))
			}
			is.Equal(len(w.weights("nagasaki")), len(w.Nodes))
			is.Equal(len(w.weights("omuta")), len(w.Nodes))
			is.Equal(len(w.weights("oita")), 0) // what the other side refused is in force nowhere
		})
	}
}
