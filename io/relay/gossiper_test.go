package relay

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/conf"
	"snipeshed/core"
	"snipeshed/core/member"
)

func (w *testCluster) minNumber() core.TicketNumber {
	n := w.nodes[0].state.Number()
	for _, x := range w.nodes {
		n = min(n, x.state.Number())
	}
	return n
}

func (w *testCluster) staleCount() (stale int) {
	for _, n := range w.nodes {
		if n.CheckFresh() != nil {
			stale++
		}
	}
	return stale
}

// scenario guards against the failure that its name describes.
type scenario struct {
	name string
	run  func(is *is.I, w *testCluster)
}

func TestScenarios(t *testing.T) {
	for _, tt := range slices.Concat(ticketScenarios, outageScenarios, startScenarios, roleScenarios) {
		t.Run(tt.name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, w *testCluster) { tt.run(is.New(t), w) })
		})
	}
}

// ticketScenarios cover the distribution of tickets in a fleet.
var ticketScenarios = []scenario{
	{"tickets reach every instance within 3 s, 9 in 10 within a second", func(is *is.I, w *testCluster) {
		// Targets are drawn at random: 20 of 1,500 tickets took longer than a second.
		w.startInstances(24, 3)
		const tickets = 40
		late := 0
		for n := range core.TicketNumber(tickets) {
			w.acceptTicket()
			time.Sleep(time.Second)
			if w.minNumber() <= n {
				late++
			}
			time.Sleep(2 * time.Second)
			is.Equal(w.minNumber(), n+1)
		}
		is.True(late <= tickets/10)
	}},
	{"each instance is sent a ticket about once", func(is *is.I, w *testCluster) {
		const tickets = 20
		nodes := w.startInstances(24, 3)
		for range tickets {
			w.acceptTicket()
			time.Sleep(time.Second)
		}
		time.Sleep(2 * time.Second) // each ticket has 3 s to reach all
		is.Equal(w.minNumber(), core.TicketNumber(tickets))
		w.mu.Lock()
		defer w.mu.Unlock()
		is.True(w.ticketsSent <= len(nodes)*tickets*3/2)
	}},
	{"burst of tickets", func(is *is.I, w *testCluster) {
		w.startInstances(12, 3)
		for range 600 {
			w.acceptTicket()
		}
		time.Sleep(3 * time.Second)
		is.Equal(w.minNumber(), core.TicketNumber(600))
	}},
	{"ticket accepted here spreads before the store's watch reports it", func(is *is.I, w *testCluster) {
		w.startInstances(6, 3)
		t1 := w.acceptTicket()
		w.setPlatformFault(platformRefuses)
		is.NoErr(w.nodes[0].ApplyAccepted(t1))
		time.Sleep(2 * time.Second)
		is.Equal(w.minNumber(), core.TicketNumber(1))
	}},
	{"ticket accepted here after others that are not known here", func(is *is.I, w *testCluster) {
		w.startInstances(3, 3)
		w.acceptTicket()
		w.acceptTicket()
		is.NoErr(w.nodes[0].ApplyAccepted(w.acceptTicket()))
		time.Sleep(100 * time.Millisecond)
		is.Equal(w.nodes[0].state.Number(), core.TicketNumber(3))
	}},
}

// roleScenarios cover members, relays and snapshots.
var roleScenarios = []scenario{
	{"instance that announces its leaving while the list lags", func(is *is.I, w *testCluster) {
		nodes := w.startInstances(12, 3)
		nodes[4].Leave(context.Background())
		time.Sleep(3 * time.Second)
		w.setListed(nodes[4], member.StateLive) // the list changes, but still shows it as live
		time.Sleep(3 * time.Second)
		for _, n := range nodes {
			is.True(n.members.IsLeaving(nodes[4].peer.ID))
		}
		nodes[4].Close()
		nodes[4].make()
		nodes[4].Start()
		time.Sleep(10 * time.Second)
		for _, n := range nodes {
			is.True(!n.members.IsLeaving(nodes[4].peer.ID))
		}
	}},
	{"both relays of a failure domain fail and others take over", func(is *is.I, w *testCluster) {
		// In a single failure domain no other instance reads the store.
		nodes := w.startInstances(8, 1)
		dead := map[core.InstanceID]bool{}
		for _, p := range nodes[0].members.Relays(time.Now(), "zone-0", 2) {
			dead[p.ID] = true
		}
		w.setPeerFault(func(a, b *node) error {
			if dead[a.peer.ID] || dead[b.peer.ID] {
				return errNoAnswer
			}
			return nil
		})
		w.setPlatformFault(func(n *node) error {
			if dead[n.peer.ID] {
				return errNoAnswer
			}
			return nil
		})
		w.acceptTicket()
		for range 100 {
			time.Sleep(200 * time.Millisecond)
			for _, n := range nodes {
				if !dead[n.peer.ID] {
					is.NoErr(n.CheckFresh())
				}
			}
		}
		for _, n := range nodes {
			is.True(dead[n.peer.ID] || n.state.Number() == 1)
		}
	}},
	{"only relays watch, and watching moves with the role", func(is *is.I, w *testCluster) {
		nodes := w.startInstances(12, 3)
		time.Sleep(3 * time.Second)
		is.Equal(w.store.Watches(), 6)
		for _, p := range nodes[0].members.Relays(time.Now(), "zone-1", 2) {
			for _, n := range nodes {
				if n.peer.ID == p.ID {
					n.Leave(context.Background())
				}
			}
		}
		time.Sleep(10 * time.Second)
		is.Equal(w.store.Watches(), 6)
	}},
	{"snapshots are complete, few, and load at a start", func(is *is.I, w *testCluster) {
		for range 6 {
			w.add("zone-0", func(s *conf.Settings) { s.SnapshotEvery = 10 }).Start()
		}
		for range 100 {
			w.acceptTicket()
			time.Sleep(500 * time.Millisecond)
		}
		time.Sleep(10 * time.Second)
		objects, err := w.nodes[0].listSnapshots(context.Background())
		is.NoErr(err)
		stored := completeSnapshots(objects)
		is.True(len(stored) > 0 && len(stored) <= 2*keptSnapshots)
		is.True(w.storePuts <= 20) // two relays may both write
		for _, o := range w.store.Objects("tickets/") {
			if o.Key < "tickets/0000000090" {
				is.NoErr(w.store.Delete(context.Background(), o.Key, o.Version))
			}
		}
		w.setPeerFault(peersRefuse)
		n := w.add("zone-0")
		n.Start()
		<-n.Ready()
		is.Equal(n.state.Number(), core.TicketNumber(100))
	}},
}
