package relay

import (
	"fmt"
	"time"

	"github.com/matryer/is"

	"snipeshed/conf"
	"snipeshed/core"
	"snipeshed/wire"
)

// startScenarios cover instances that start, with and without the platform.
var startScenarios = []scenario{
	{"start with the store down and peers ahead", func(is *is.I, w *testCluster) {
		nodes := w.startInstances(5, 3)
		w.acceptTicket()
		time.Sleep(time.Second)
		w.setPlatformFault(platformRefuses)
		// Only one peer has the newest ticket.
		is.NoErr(nodes[2].state.Apply(ticket(2)))
		n := w.add("zone-0", func(s *conf.Settings) { s.Seeds = []string{nodes[0].peer.Address} })
		n.Start()
		<-n.Ready()
		is.Equal(n.state.Number(), core.TicketNumber(2))
		is.NoErr(n.CheckFresh())
	}},
	{"start with the store down and fewer than half of the peers", func(is *is.I, w *testCluster) {
		nodes := w.startInstances(6, 3)
		w.setPlatformFault(platformRefuses)
		n := w.add("zone-0", func(s *conf.Settings) { s.Seeds = []string{nodes[0].peer.Address} })
		w.setPeerFault(func(a, b *node) error {
			if a == n && b != nodes[0] {
				return errRefused
			}
			return nil
		})
		n.Start()
		time.Sleep(30 * time.Second)
		is.Equal(core.ErrorKindOf(n.CheckFresh()), core.KindStaleState)
		w.setPeerFault(peersReachable)
		time.Sleep(5 * time.Second)
		is.NoErr(n.CheckFresh())
	}},
	{"fleet that starts without a store is not ready with an empty state", func(is *is.I, w *testCluster) {
		w.acceptTicket()
		w.setPlatformFault(platformRefuses)
		for range 3 {
			w.add("zone-0", func(s *conf.Settings) { s.Seeds = []string{"10.0.0.1:0", "10.0.0.1:1", "10.0.0.1:2"} }).Start()
		}
		time.Sleep(30 * time.Second)
		is.Equal(w.staleCount(), 3)
		w.setPlatformFault(platformUp)
		time.Sleep(5 * time.Second)
		is.Equal(w.staleCount(), 0)
		is.Equal(w.minNumber(), core.TicketNumber(1))
	}},
	{"instances that start together without the store do not all ask all others", func(is *is.I, w *testCluster) {
		var seeds []string
		for i := range 20 {
			seeds = append(seeds, fmt.Sprintf("10.0.0.1:%d", i))
		}
		w.setPlatformFault(platformRefuses)
		for range seeds {
			w.add("zone-0", func(s *conf.Settings) { s.Seeds = seeds }).Start()
		}
		const rounds = 20
		time.Sleep(rounds * time.Second)
		w.mu.Lock()
		is.True(w.peerCalls <= 2*rounds*len(seeds)*startPeerCount) // the rounds are half a second apart at least
		w.mu.Unlock()
		w.setPlatformFault(platformUp)
		time.Sleep(5 * time.Second)
		is.Equal(w.staleCount(), 0)
	}},
	{"peer with a store contact since the start replaces the store", func(is *is.I, w *testCluster) {
		nodes := w.startInstances(6, 3)
		n := w.add("zone-0", func(s *conf.Settings) { s.Seeds = []string{nodes[0].peer.Address} })
		w.setPlatformFault(func(x *node) error {
			if x == n {
				return errRefused
			}
			return nil
		})
		w.setPeerFault(func(a, b *node) error {
			if a == n && b != nodes[0] {
				return errRefused
			}
			return nil
		})
		w.acceptTicket()
		n.Start()
		time.Sleep(10 * time.Second)
		is.NoErr(n.CheckFresh())
		is.Equal(n.state.Number(), core.TicketNumber(1))
	}},
	{"restart with the store up but older than the peers", func(is *is.I, w *testCluster) {
		nodes := w.startInstances(4, 3)
		for _, n := range nodes {
			is.NoErr(n.state.Apply(ticket(1)))
		}
		n := w.add("zone-1")
		n.Start()
		<-n.Ready()
		is.Equal(n.state.Number(), core.TicketNumber(1))
	}},
	{"peers no longer keep the tickets that a new instance lacks", func(is *is.I, w *testCluster) {
		nodes := w.startInstances(4, 3)
		w.setPlatformFault(platformRefuses)
		for _, n := range nodes {
			is.NoErr(n.state.Load(&wire.Snapshot{Number: 5000}))
		}
		n := w.add("zone-1", func(s *conf.Settings) { s.Seeds = []string{nodes[1].peer.Address} })
		n.Start()
		<-n.Ready()
		is.Equal(n.state.Number(), core.TicketNumber(5000))
	}},
}
