package relay

import (
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
)

// outageScenarios concern an unreachable platform and cuts between instances.
var outageScenarios = []scenario{
	{"store outage that all share stops nothing", func(is *is.I, w *world) {
		w.fleet(18, 3)
		w.platform(silent)
		for range 60 {
			time.Sleep(time.Second)
			is.Equal(w.stale(), 0)
		}
	}},
	{"store outage stops nothing in a fleet of two", func(is *is.I, w *world) {
		w.fleet(2, 3)
		w.platform(down)
		time.Sleep(time.Minute)
		is.Equal(w.stale(), 0)
	}},
	{"store outage with a third of the fleet lost stops nothing", func(is *is.I, w *world) {
		w.fleet(18, 3)
		w.platform(down)
		w.cut(func(a, b *node) error {
			if a.peer.FailureDomain == "zone-2" || b.peer.FailureDomain == "zone-2" {
				return errSilentPeer
			}
			return nil
		})
		for range 60 {
			time.Sleep(time.Second)
			for _, n := range w.nodes {
				if n.peer.FailureDomain != "zone-2" {
					is.NoErr(n.Fresh())
				}
			}
		}
	}},
	{"two halves cut from each other go on and agree after the cut", func(is *is.I, w *world) {
		// The platform is on the side of zone-0; the other side has neither it nor more than half.
		nodes := w.fleet(12, 2)
		region := func(n *node) core.FailureDomain { return n.peer.FailureDomain }
		w.cut(func(a, b *node) error {
			if region(a) != region(b) {
				return errSilentPeer
			}
			return nil
		})
		w.platform(func(n *node) error {
			if region(n) != "zone-0" {
				return errSilentPeer
			}
			return nil
		})
		for range 60 {
			w.accept()
			time.Sleep(time.Second)
			is.Equal(w.stale(), 0)
		}
		for _, n := range nodes {
			is.Equal(n.state.Number() == 60, region(n) == "zone-0")
		}
		w.cut(linked)
		w.platform(up)
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
	{"tickets pulled by a fleet while a failure domain falls silent", func(is *is.I, w *world) {
		nodes := w.fleet(24, 4)
		w.cut(func(a, b *node) error {
			if a.peer.FailureDomain == "zone-3" || b.peer.FailureDomain == "zone-3" {
				return errSilentPeer
			}
			return nil
		})
		for range 30 {
			w.accept()
			time.Sleep(500 * time.Millisecond)
			for _, n := range nodes {
				is.True(n.peer.FailureDomain == "zone-3" || n.Fresh() == nil)
			}
		}
		time.Sleep(2 * time.Second)
		for _, n := range nodes {
			is.True(n.peer.FailureDomain == "zone-3" || n.state.Number() == 30)
		}
		// Each of the silent ones still reaches the platform, and reads it itself once it suspects the relays.
		time.Sleep(time.Minute)
		is.Equal(w.minNumber(), core.TicketNumber(30))
	}},
	{"minority without the store stops within the limit", func(is *is.I, w *world) {
		w.fleet(18, 3)
		w.platform(down)
		w.cut(func(a, b *node) error {
			if (a.peer.FailureDomain == "zone-2") != (b.peer.FailureDomain == "zone-2") {
				return errCut
			}
			return nil
		})
		time.Sleep(10*time.Second + time.Millisecond)
		for _, n := range w.nodes {
			is.Equal(n.Fresh() != nil, n.peer.FailureDomain == "zone-2")
		}
	}},
	{"instance cut off from everything stops within the limit and recovers", func(is *is.I, w *world) {
		lost := w.fleet(6, 3)[3]
		w.platform(func(n *node) error {
			if n == lost {
				return errSilentPeer
			}
			return nil
		})
		w.cut(func(a, b *node) error {
			if a == lost || b == lost {
				return errSilentPeer
			}
			return nil
		})
		time.Sleep(10*time.Second + time.Millisecond)
		is.Equal(core.KindOf(lost.Fresh()), core.KindStaleState)
		is.Equal(w.stale(), 1)
		w.accept()
		w.cut(linked)
		w.platform(up)
		time.Sleep(10 * time.Second)
		is.NoErr(lost.Fresh())
		is.Equal(lost.state.Number(), core.TicketNumber(1))
	}},
	{"either of two instances stops when it is cut off", func(is *is.I, w *world) {
		w.fleet(2, 3)
		w.platform(down)
		w.cut(separated)
		time.Sleep(10*time.Second + time.Millisecond)
		is.Equal(w.stale(), 2)
	}},
}
