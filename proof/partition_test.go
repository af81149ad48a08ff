package proof

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/conf"
	"snipeshed/core"
	"snipeshed/stand/caller"
	"snipeshed/stand/fleet"
	"snipeshed/stand/runner"
)

// partitionTime is longer than the vouch limit, so that a side without the store must vouch for itself.
const partitionTime = 12 * time.Second

// sides is a world of two sides. Runners with even numbers are on side 0, and each nth instance. Each side has its own source address.
type sides struct {
	*world
	nth int
}

func (w sides) side(i int) int { return min(i%w.nth, 1) }

func sourceOf(side int) string { return fmt.Sprintf("127.0.0.%d", 2+side%2) }

func startSides(t *testing.T, regions [2]string, nth int, change func(*conf.Settings)) sides {
	t.Helper()
	is := is.New(t)
	w := sides{empty(t, append(defaultIntervals(), fleet.WithSettings(change))...), nth}
	for range 4 {
		_, err := w.AddRunner(runner.WithLoadLag(100 * time.Millisecond))
		is.NoErr(err)
	}
	for i := range 6 {
		_, err := w.AddNode(func(s *conf.Settings) {
			s.Region, s.FailureDomain, s.SourceAddress = regions[w.side(i)], string(fleet.Domains[w.side(i)]), sourceOf(w.side(i))
		})
		is.NoErr(err)
	}
	is.NoErr(w.WaitReady(startLimit))
	ticket := w.Ticket()
	for i, item := range ticket.GetItems()[len(ticket.GetItems())-4:] {
		e := item.GetEndpoint()
		e.Region, e.FailureDomain = regions[i%2], string(fleet.Domains[i%2])
	}
	w.configure(ticket)
	return w
}

// partition cuts all links between the sides, and those of side 1 to the store.
func (w sides) partition() {
	for i, l := range w.RunnerLinks {
		l.Partition(sourceOf(i + 1))
	}
	for i, n := range w.Nodes {
		n.PeerLink.Partition(sourceOf(w.side(i) + 1))
		if w.side(i) == 1 {
			n.PlatformLink.Partition()
		}
	}
}

// heal resets what was open in the partition: a push that the link held back would bring the news at once, which
// after a partition of minutes no real connection does.
func (w sides) heal() {
	is := is.New(w.t)
	links := slices.Clone(w.RunnerLinks)
	for _, n := range w.Nodes {
		links = append(links, n.PeerLink, n.PlatformLink)
	}
	for _, l := range links {
		l.Cut()
		is.NoErr(l.Restore())
	}
}

// neverBack reports a configuration that goes back at any instance until the test ends.
func (w sides) neverBack() {
	last := make([]core.TicketNumber, len(w.Nodes))
	go func() {
		for ; w.t.Context().Err() == nil; time.Sleep(5 * time.Millisecond) {
			for i, n := range w.Nodes {
				if now := n.Ticket(); now < last[i] {
					w.t.Errorf("%s went back from ticket %d to %d", n.ID, last[i], now)
				} else {
					last[i] = now
				}
			}
		}
	}()
}

// TestPartition guards against streams that end without an honest error, a side that stops serving, tickets accepted on
// the side without the store, and tickets that are not in force soon after the partition has healed.
func TestPartition(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name    string
		regions [2]string
		nth     int
		change  func(*conf.Settings)
	}{
		{name: "regions", regions: [2]string{"south", "north"}, nth: 2, change: func(*conf.Settings) {}},
		// Suspicions and the breaker's delay are at their limits, as after some minutes. Two thirds of the instances are
		// without the store; they vouch for each other and so have no other reason to ask suspects.
		{name: "regions, for long", regions: [2]string{"south", "north"}, nth: 3, change: func(s *conf.Settings) {
			s.SuspectMs, s.BreakerRetryMs = 40_000, 16_000
		}},
		{name: "failure domains of one region", regions: [2]string{"north", "north"}, nth: 2, change: func(s *conf.Settings) { s.PoolSize = 2 }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := startSides(t, tt.regions, tt.nth, tt.change)
			w.neverBack()
			// Streams cross the partition on the way to the owner or from it to the engine.
			across := tt.regions[0] == tt.regions[1]
			for i, n := range w.Nodes {
				across = across || n.ID == n.Owner(core.PoolID(fleet.Model+"@"+tt.regions[1-w.side(i)]+"/0"))
			}
			is.True(across)

			// Streams that run while the partition begins, two at each instance.
			type result struct {
				a answer
				q ask
			}
			running := make([]result, 2*len(w.Nodes))
			var side sync.WaitGroup
			began := w.total()
			for i := range running {
				running[i].q = ask{Output: 400, Mark: caller.NewMark()}
				side.Go(func() { running[i].a = w.chat(w.Nodes[i%len(w.Nodes)], running[i].q) })
			}
			is.NoErr(fleet.Wait(startLimit, "streams run", func() bool { return w.total() == began+len(running) }))
			w.partition()
			cut := time.Now()
			base := uint64(w.Nodes[0].Ticket())

			// New requests on both sides, and tickets.
			counts := make([]map[string]int, len(w.Nodes))
			var load sync.WaitGroup
			for i, n := range w.Nodes {
				counts[i] = map[string]int{}
				load.Go(func() {
					for j := 0; time.Since(cut) < partitionTime; j++ {
						q := ask{Output: 20, Mark: caller.NewMark(), Whole: j%2 == 0, Timeout: 10 * time.Second}
						a := w.chat(n, q)
						switch err := a.Honest(q); {
						case err != nil:
							t.Errorf("%s: %v", n.ID, err)
						case a.Err != nil:
							counts[i][string(a.Err.Kind)+" "+string(a.Err.Run)]++
						default:
							counts[i]["complete"]++
						}
					}
				})
			}
			number, terr := try(w.Nodes[0], team("nagasaki", "morning", base, 11))
			is.True(terr == nil) // the side with the store takes tickets
			for time.Since(cut) < partitionTime {
				_, terr = try(w.Nodes[1], team("oita", "afternoon", base, 12))
				is.True(terr != nil) // the other side refuses them
				is.Equal(terr.Kind, core.KindStoreDown)
				is.Equal(terr.Run, core.RunNot)
				time.Sleep(200 * time.Millisecond)
			}
			load.Wait()
			for i, n := range w.Nodes {
				is.True(n.Ready()) // also the side that must vouch for itself
				is.Equal(n.Ticket() >= core.TicketNumber(number), w.side(i) == 0)
			}
			side.Wait()
			kinds := map[string]int{}
			for _, r := range running {
				if err := r.a.Honest(r.q); err != nil {
					t.Error(err)
				}
				if r.a.Err != nil {
					kinds[string(r.a.Err.Kind)]++
				}
			}
			w.heal()
			healed := time.Now()
			is.NoErr(w.WaitTicket(ticketBound, number))
			t.Logf("running streams that broke: %v; new requests by instance: %v; ticket in force everywhere %s after healing", kinds, counts, time.Since(healed))
			for i, c := range counts {
				total := 0
				for _, n := range c {
					total += n
				}
				if c["complete"]*10 < total*9 {
					t.Errorf("instance %d completed only %d of %d new requests", i, c["complete"], total)
				}
			}
			is.Equal(len(w.weights("nagasaki")), len(w.Nodes))
			is.Equal(len(w.weights("oita")), 0) // what the other side refused is in force nowhere
		})
	}
}
