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

// partitionDuration exceeds the default vouch_limit_ms, the time for which an instance serves new calls without contact with
// the store or at least half of the instances. Instances that the partition separates from the store thus depend on the others.
const partitionDuration = 12 * time.Second

// failOnRollback fails the test if any instance goes back to an older configuration before the test ends.
func (tf *testFleet) failOnRollback() {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		tf.WatchTicketRegressions(func() bool { return tf.t.Context().Err() != nil }, func(n *fleet.Node, from, to core.TicketNumber) {
			tf.t.Errorf("%s rolled back from ticket %d to %d", n.ID, from, to)
		})
	}()
	tf.t.Cleanup(func() { <-ended })
}

// TestPartition guards against faults of a network partition that leaves the store on side 0. Streams must not end without an
// accurate error. Side 1 must go on serving if it has at least half of the instances, and otherwise refuse new calls. It must
// accept no tickets, and tickets accepted on side 0 must be in force everywhere soon after the partition has healed.
func TestPartition(t *testing.T) {
	t.Parallel()
	twoRegions, oneRegion := [2]string{"south", "north"}, [2]string{"north", "north"}
	tests := []struct {
		name    string
		regions [2]string // region of each side
		sides   []int     // side of each instance
		output  int
		change  func(*conf.Settings)
		// vouchLimit is vouch_limit_ms if side 1 must refuse new calls after that time without the store; 0 means that side 1
		// goes on serving.
		vouchLimit time.Duration
	}{
		{name: "regions", regions: twoRegions, sides: []int{0, 1, 0, 1, 0, 1}, output: 400, change: func(*conf.Settings) {}},
		// The suspicion time and the breaker's delay have the values that they reach after some minutes. Two thirds of the
		// instances have no store; they confirm each other's configuration and so have no other reason to contact suspects.
		{name: "regions, for long", regions: twoRegions, sides: []int{0, 1, 1, 0, 1, 1}, output: 400, change: func(s *conf.Settings) {
			s.SuspectMs, s.BreakerRetryMs = 40_000, 16_000
		}},
		{name: "failure domains of one region", regions: oneRegion, sides: []int{0, 1, 0, 1, 0, 1}, output: 400, change: func(s *conf.Settings) {
			s.PoolSize = 2
		}},
		// A third of the instances has no store. Their streams last longer than vouch_limit_ms.
		{name: "regions, small side", regions: twoRegions, sides: []int{0, 0, 1, 0, 0, 1}, output: 900, change: func(s *conf.Settings) {
			s.VouchLimitMs = 3000
		}, vouchLimit: 3 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s, err := fleet.StartPartitionedFleet(tt.regions, tt.sides, fleetOptions(t, []fleet.Option{fleet.WithListLag(time.Second), fleet.WithSettings(tt.change)})...)
			var f *fleet.Fleet
			if s != nil {
				f = s.Fleet
			}
			tf := newTestFleet(t, f, err)
			tf.failOnRollback()
			// Some streams must cross the partition, between entry and owner or between owner and engine.
			across := tt.regions[0] == tt.regions[1]
			for i, n := range tf.Nodes {
				across = across || n.ID == n.PoolOwner(core.PoolID(fleet.Model+"@"+tt.regions[1-s.SideOf[i]]+"/0"))
			}
			is.True(across)

			// Streams that run when the partition begins, two at each instance.
			var streams caller.Group
			began := tf.StartedGenerations()
			for i := range 2 * len(tf.Nodes) {
				streams.Go(tf.client, tf.Nodes[i%len(tf.Nodes)].ClientAddress(), chatRequest{OutputTokens: tt.output})
			}
			is.NoErr(fleet.Wait(startLimit, "streams run", func() bool { return tf.StartedGenerations() == began+2*len(tf.Nodes) }))
			s.Partition()
			cut := time.Now()
			base := uint64(tf.Nodes[0].TicketNumber())

			// New requests on both sides, and tickets.
			pause := time.Duration(0)
			if tt.vouchLimit > 0 {
				pause = 20 * time.Millisecond // refusals are immediate
			}
			loads := make([]*caller.Load, len(tf.Nodes))
			for i, n := range tf.Nodes {
				loads[i] = startLoad(t, caller.FixedAddress(tf.client, n.ClientAddress()), caller.WithMinOutputTokens(20),
					caller.WithTimeout(10*time.Second), caller.WithPause(pause))
			}
			withStore, withoutStore := s.NodesOnSide(0), s.NodesOnSide(1)
			first, terr := withStore[0].ApplyTyped(fleet.TeamTicket("nagasaki", "morning", base, 11))
			is.True(terr == nil)        // the side with the store accepts tickets
			var refusingSince time.Time // from then on all instances of side 1 refuse calls
			if tt.vouchLimit > 0 {
				for _, n := range withoutStore {
					is.NoErr(fleet.Wait(tt.vouchLimit+resumeSlack, "refuses new calls", func() bool { return !n.Ready() }))
				}
				refusingSince = time.Now()
				is.True(tf.Runners[1].State().OpenStreams+tf.Runners[3].State().OpenStreams > 0) // streams of side 1 still run
			}
			for time.Since(cut) < partitionDuration {
				_, terr = withoutStore[0].ApplyTyped(fleet.TeamTicket("oita", "afternoon", base, 12))
				is.True(terr != nil) // the other side refuses them
				is.Equal(terr.Kind, core.KindStoreDown)
				is.Equal(terr.Execution, core.NotExecuted)
				time.Sleep(200 * time.Millisecond)
			}
			last, terr := withStore[0].ApplyTyped(fleet.TeamTicket("omuta", "morning", first, 13))
			is.True(terr == nil)
			for i, l := range loads {
				results := l.Close()
				kinds := results.CountByOutcome()
				t.Logf("new requests at instance %d on side %d: %v", i, s.SideOf[i], kinds)
				for _, err := range results.Errors(caller.CheckCompleteOrError) {
					t.Errorf("instance %d: %v", i, err)
				}
				switch {
				case tt.vouchLimit == 0:
					if kinds["complete"]*10 < len(results)*9 {
						t.Errorf("instance %d completed only %d of %d new requests", i, kinds["complete"], len(results))
					}
				case s.SideOf[i] == 0:
					is.Equal(kinds["complete"], len(results)) // no request fails on the side with the store
				default:
					refused := results.BeganSince(refusingSince)
					is.True(len(refused) > 0)
					for _, r := range refused {
						if r.Err == nil || r.Err.Kind != core.KindStaleState || !r.NotRun() || tf.StartsOf(core.RequestID(r.Err.RequestID)) > 0 {
							t.Errorf("instance %d has neither the store nor half of the instances, but did not refuse: %s", i, r)
						}
					}
				}
			}
			for i, n := range tf.Nodes {
				is.Equal(n.Ready(), tt.vouchLimit == 0 || s.SideOf[i] == 0) // also on a side without the store that has at least half of the instances
				is.Equal(n.TicketNumber() >= core.TicketNumber(first), s.SideOf[i] == 0)
			}
			results := streams.Wait()
			check := caller.CheckCompleteOrError
			if tt.vouchLimit > 0 {
				check = caller.CheckComplete
			}
			for _, err := range results.Errors(check) {
				t.Error(err)
			}
			is.NoErr(s.Heal())
			healed := time.Now()
			is.NoErr(tf.WaitTicket(ticketBound, last))
			inForce := time.Since(healed)
			is.NoErr(tf.WaitReady(ticketBound - inForce))
			t.Logf("running streams: %v; ticket in force everywhere %s and all ready %s after healing", results.CountByOutcome(), inForce, time.Since(healed))
			for _, n := range tf.Nodes {
				is.Equal(n.TicketNumber(), core.TicketNumber(last))
			}
			is.Equal(len(tf.weights("nagasaki")), len(tf.Nodes))
			is.Equal(len(tf.weights("omuta")), len(tf.Nodes))
			is.Equal(len(tf.weights("oita")), 0) // the refused ticket is in force at no instance
		})
	}
}
