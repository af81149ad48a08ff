package relay

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/conf"
	"snipeshed/core"
	"snipeshed/core/state"
	"snipeshed/wire"
)

// restart replaces an instance's process by a new one with an empty state.
func (n *node) restart() {
	n.Close()
	n.state = state.New()
	n.make()
	n.Start()
}

// startSeeded starts instances that know each other from their seeds.
func (w *testCluster) startSeeded(size int) []*node {
	for i := range size {
		w.add([]string{"zone-0", "zone-1", "zone-2"}[i%3], func(s *conf.Settings) { s.Seeds = []string{"10.0.0.1:0", "10.0.0.1:1", "10.0.0.1:2"} })
	}
	for _, n := range w.nodes {
		n.Start()
	}
	for _, n := range w.nodes {
		<-n.Ready()
	}
	return w.nodes
}

// TestRestartInOutage guards against an instance that, after a restart during a store outage, has a lower ticket in force than
// before or than one that an answering peer reported. At the end of each scenario the store is back and no instance is stale.
func TestRestartInOutage(t *testing.T) {
	tests := []struct {
		name string
		run  func(is *is.I, w *testCluster, nodes []*node, n *node)
	}{
		{"ticket that only the restarted instance had", func(is *is.I, w *testCluster, nodes []*node, n *node) {
			t1 := w.acceptTicket()
			w.setPlatformFault(platformRefuses)
			w.setPeerFault(func(_, b *node) error {
				if b == n { // its pushes arrive, but no peer can fetch the ticket from it
					return errRefused
				}
				return nil
			})
			is.NoErr(n.ApplyAccepted(t1))
			time.Sleep(time.Second)
			is.NoErr(n.CheckFresh())
			is.Equal(n.state.Number(), core.TicketNumber(1))
			n.restart()
			w.setPeerFault(peersReachable)
			for range 60 {
				time.Sleep(time.Second)
				is.True(n.CheckFresh() != nil || n.state.Number() == 1)
			}
			for _, other := range nodes { // the others never had the ticket in force and stay fresh
				is.True(other == n || other.CheckFresh() == nil)
			}
			nodes[0].restart()
			time.Sleep(5 * time.Second)
			is.NoErr(nodes[0].CheckFresh())
		}},
		{"peer that names a ticket and fails before it sends it", func(is *is.I, w *testCluster, nodes []*node, n *node) {
			w.setPlatformFault(platformRefuses)
			ahead := nodes[4]
			is.NoErr(ahead.state.Load(&wire.Snapshot{Number: 1})) // no peer keeps the ticket itself, so State has to be called
			var answered atomic.Int64
			w.setPeerFault(func(a, b *node) error {
				if a == ahead {
					return errRefused
				}
				if b == ahead {
					if a != n || answered.Add(1) > 1 {
						return errRefused
					}
				}
				return nil
			})
			n.restart()
			time.Sleep(30 * time.Second)
			is.True(answered.Load() > 1)
			is.True(n.CheckFresh() != nil || n.state.Number() == 1)
			w.setPeerFault(peersReachable)
			time.Sleep(5 * time.Second)
			is.NoErr(n.CheckFresh())
			is.Equal(n.state.Number(), core.TicketNumber(1))
			w.acceptTicket()
		}},
		{"peer ahead that does not answer does not delay the start", func(is *is.I, w *testCluster, nodes []*node, n *node) {
			w.setPlatformFault(platformRefuses)
			is.NoErr(nodes[4].state.Apply(ticket(1)))
			w.setPeerFault(func(a, b *node) error {
				if a == nodes[4] || b == nodes[4] {
					return errRefused
				}
				return nil
			})
			n.restart()
			time.Sleep(10 * time.Second)
			is.NoErr(n.CheckFresh())
			w.acceptTicket()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, w *testCluster) {
				is := is.New(t)
				nodes := w.startSeeded(6)
				tt.run(is, w, nodes, nodes[3])
				w.setPeerFault(peersReachable)
				w.setPlatformFault(platformUp)
				time.Sleep(15 * time.Second)
				is.Equal(w.staleCount(), 0)
				is.Equal(w.minNumber(), core.TicketNumber(1))
			})
		})
	}
}
