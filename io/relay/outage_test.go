package relay

import (
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
)

// outageScenarios cover an unreachable platform and network partitions between instances.
var outageScenarios = []scenario{
	{"no instance becomes stale in a store outage", func(is *is.I, w *testCluster) {
		w.startInstances(18, 3)
		w.setPlatformFault(platformSilent)
		for range 60 {
			time.Sleep(time.Second)
			is.Equal(w.staleCount(), 0)
		}
	}},
	{"no instance of a fleet of two becomes stale in a store outage", func(is *is.I, w *testCluster) {
		w.startInstances(2, 3)
		w.setPlatformFault(platformRefuses)
		time.Sleep(time.Minute)
		is.Equal(w.staleCount(), 0)
	}},
	{"no other instance becomes stale in a store outage with a third of the fleet lost", func(is *is.I, w *testCluster) {
		w.startInstances(18, 3)
		w.setPlatformFault(platformRefuses)
		w.setPeerFault(func(a, b *node) error {
			if a.peer.FailureDomain == "zone-2" || b.peer.FailureDomain == "zone-2" {
				return errNoAnswer
			}
			return nil
		})
		for range 60 {
			time.Sleep(time.Second)
			for _, n := range w.nodes {
				if n.peer.FailureDomain != "zone-2" {
					is.NoErr(n.CheckFresh())
				}
			}
		}
	}},
	{"two halves stay fresh during a partition and converge after it", func(is *is.I, w *testCluster) {
		// The platform is on the side of zone-0; the other side has neither the platform nor more than half.
		nodes := w.startInstances(12, 2)
		domain := func(n *node) core.FailureDomain { return n.peer.FailureDomain }
		w.setPeerFault(func(a, b *node) error {
			if domain(a) != domain(b) {
				return errNoAnswer
			}
			return nil
		})
		w.setPlatformFault(func(n *node) error {
			if domain(n) != "zone-0" {
				return errNoAnswer
			}
			return nil
		})
		const tickets = 60
		for i := range core.TicketNumber(tickets) {
			w.acceptTicket()
			time.Sleep(time.Second)
			is.Equal(w.staleCount(), 0)
			for _, n := range nodes {
				is.True(domain(n) != "zone-0" || n.state.Number()+2 > i) // each ticket has 3 s to reach the half with the platform
			}
		}
		time.Sleep(2 * time.Second)
		for _, n := range nodes {
			is.Equal(n.state.Number() == tickets, domain(n) == "zone-0")
		}
		w.setPeerFault(peersReachable)
		w.setPlatformFault(platformUp)
		time.Sleep(10 * time.Second)
		is.Equal(w.minNumber(), core.TicketNumber(60))
		for _, n := range nodes {
			is.Equal(n.Config().Teams["tallinn"].GetWeight(), int64(60))
		}
		time.Sleep(35 * time.Second) // a suspicion lasts 40 s at most
		for _, n := range nodes {
			is.Equal(len(n.members.Peers(time.Now())), 11)
		}
	}},
	{"tickets reach the fleet while a failure domain does not answer", func(is *is.I, w *testCluster) {
		nodes := w.startInstances(24, 4)
		w.setPeerFault(func(a, b *node) error {
			if a.peer.FailureDomain == "zone-3" || b.peer.FailureDomain == "zone-3" {
				return errNoAnswer
			}
			return nil
		})
		for range 30 {
			w.acceptTicket()
			time.Sleep(500 * time.Millisecond)
			for _, n := range nodes {
				is.True(n.peer.FailureDomain == "zone-3" || n.CheckFresh() == nil)
			}
		}
		time.Sleep(2 * time.Second)
		for _, n := range nodes {
			is.True(n.peer.FailureDomain == "zone-3" || n.state.Number() == 30)
		}
		// Each of the unresponsive ones still reaches the platform, and reads it itself once it suspects the relays.
		time.Sleep(time.Minute)
		is.Equal(w.minNumber(), core.TicketNumber(30))
	}},
	{"minority without the store becomes stale within the limit", func(is *is.I, w *testCluster) {
		w.startInstances(18, 3)
		w.setPlatformFault(platformRefuses)
		w.setPeerFault(func(a, b *node) error {
			if (a.peer.FailureDomain == "zone-2") != (b.peer.FailureDomain == "zone-2") {
				return errRefused
			}
			return nil
		})
		time.Sleep(10*time.Second + time.Millisecond)
		for _, n := range w.nodes {
			is.Equal(n.CheckFresh() != nil, n.peer.FailureDomain == "zone-2")
		}
	}},
	{"instance cut off from everything becomes stale within the limit and recovers", func(is *is.I, w *testCluster) {
		lost := w.startInstances(6, 3)[3]
		w.setPlatformFault(func(n *node) error {
			if n == lost {
				return errNoAnswer
			}
			return nil
		})
		w.setPeerFault(func(a, b *node) error {
			if a == lost || b == lost {
				return errNoAnswer
			}
			return nil
		})
		time.Sleep(10*time.Second + time.Millisecond)
		is.Equal(core.ErrorKindOf(lost.CheckFresh()), core.KindStaleState)
		is.Equal(w.staleCount(), 1)
		w.acceptTicket()
		w.setPeerFault(peersReachable)
		w.setPlatformFault(platformUp)
		time.Sleep(10 * time.Second)
		is.NoErr(lost.CheckFresh())
		is.Equal(lost.state.Number(), core.TicketNumber(1))
	}},
	{"both of two instances become stale when they are cut off", func(is *is.I, w *testCluster) {
		w.startInstances(2, 3)
		w.setPlatformFault(platformRefuses)
		w.setPeerFault(peersRefuse)
		time.Sleep(10*time.Second + time.Millisecond)
		is.Equal(w.staleCount(), 2)
	}},
}
