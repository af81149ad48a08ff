package relay

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/conf"
	"snipeshed/core"
	"snipeshed/core/member"
	"snipeshed/wire"
)

func (w *world) minNumber() core.TicketNumber {
	n := w.nodes[0].state.Number()
	for _, x := range w.nodes {
		n = min(n, x.state.Number())
	}
	return n
}

func (w *world) stale() (stale int) {
	for _, n := range w.nodes {
		if n.Fresh() != nil {
			stale++
		}
	}
	return stale
}

// Each scenario guards against the failure that its name gives.
func TestScenarios(t *testing.T) {
	tests := []struct {
		name string
		run  func(is *is.I, w *world)
	}{
		{"tickets reach every instance within a second", func(is *is.I, w *world) {
			w.fleet(24, 3)
			w.accept()
			time.Sleep(time.Second)
			is.Equal(w.minNumber(), core.TicketNumber(1))
		}},
		{"each instance is sent a ticket about once", func(is *is.I, w *world) {
			const tickets = 20
			nodes := w.fleet(24, 3)
			for range tickets {
				w.accept()
				time.Sleep(time.Second)
			}
			is.Equal(w.minNumber(), core.TicketNumber(tickets))
			w.mu.Lock()
			defer w.mu.Unlock()
			is.True(w.sent <= len(nodes)*tickets*3/2)
		}},
		{"burst of tickets", func(is *is.I, w *world) {
			w.fleet(12, 3)
			for range 600 {
				w.accept()
			}
			time.Sleep(3 * time.Second)
			is.Equal(w.minNumber(), core.TicketNumber(600))
		}},
		{"ticket accepted here spreads before the store's watch reports it", func(is *is.I, w *world) {
			w.fleet(6, 3)
			t1 := w.accept()
			w.platform(down)
			is.NoErr(w.nodes[0].Learn(t1))
			time.Sleep(2 * time.Second)
			is.Equal(w.minNumber(), core.TicketNumber(1))
		}},
		{"ticket accepted here after others that are not known here", func(is *is.I, w *world) {
			w.fleet(3, 3)
			w.accept()
			w.accept()
			is.NoErr(w.nodes[0].Learn(w.accept()))
			time.Sleep(100 * time.Millisecond)
			is.Equal(w.nodes[0].state.Number(), core.TicketNumber(3))
		}},
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
		{"start with the store down and peers ahead", func(is *is.I, w *world) {
			nodes := w.fleet(5, 3)
			w.accept()
			time.Sleep(time.Second)
			w.platform(down)
			// Only one peer has the newest ticket.
			is.NoErr(nodes[2].state.Apply(ticket(2)))
			n := w.add("zone-0", func(s *conf.Settings) { s.Seeds = []string{nodes[0].peer.Address} })
			n.Start()
			<-n.Ready()
			is.Equal(n.state.Number(), core.TicketNumber(2))
			is.NoErr(n.Fresh())
		}},
		{"start with the store down and fewer than half of the peers", func(is *is.I, w *world) {
			nodes := w.fleet(6, 3)
			w.platform(down)
			n := w.add("zone-0", func(s *conf.Settings) { s.Seeds = []string{nodes[0].peer.Address} })
			w.cut(func(a, b *node) error {
				if a == n && b != nodes[0] {
					return errCut
				}
				return nil
			})
			n.Start()
			time.Sleep(30 * time.Second)
			is.Equal(core.KindOf(n.Fresh()), core.KindStaleState)
			w.cut(linked)
			time.Sleep(5 * time.Second)
			is.NoErr(n.Fresh())
		}},
		{"fleet that starts without a store is not ready with an empty state", func(is *is.I, w *world) {
			w.accept()
			w.platform(down)
			for range 3 {
				w.add("zone-0", func(s *conf.Settings) { s.Seeds = []string{"10.0.0.1:0", "10.0.0.1:1", "10.0.0.1:2"} }).Start()
			}
			time.Sleep(30 * time.Second)
			is.Equal(w.stale(), 3)
			w.platform(up)
			time.Sleep(5 * time.Second)
			is.Equal(w.stale(), 0)
			is.Equal(w.minNumber(), core.TicketNumber(1))
		}},
		{"instances that start together without the store do not all ask all others", func(is *is.I, w *world) {
			var seeds []string
			for i := range 20 {
				seeds = append(seeds, fmt.Sprintf("10.0.0.1:%d", i))
			}
			w.platform(down)
			for range seeds {
				w.add("zone-0", func(s *conf.Settings) { s.Seeds = seeds }).Start()
			}
			const rounds = 20
			time.Sleep(rounds * time.Second)
			w.mu.Lock()
			is.True(w.calls <= 2*rounds*len(seeds)*fewPeers) // the rounds are half a second apart at least
			w.mu.Unlock()
			w.platform(up)
			time.Sleep(5 * time.Second)
			is.Equal(w.stale(), 0)
		}},
		{"peer with a store contact since the start stands in for the store", func(is *is.I, w *world) {
			nodes := w.fleet(6, 3)
			n := w.add("zone-0", func(s *conf.Settings) { s.Seeds = []string{nodes[0].peer.Address} })
			w.platform(func(x *node) error {
				if x == n {
					return errCut
				}
				return nil
			})
			w.cut(func(a, b *node) error {
				if a == n && b != nodes[0] {
					return errCut
				}
				return nil
			})
			w.accept()
			n.Start()
			time.Sleep(10 * time.Second)
			is.NoErr(n.Fresh())
			is.Equal(n.state.Number(), core.TicketNumber(1))
		}},
		{"restart with the store up but older than the peers", func(is *is.I, w *world) {
			nodes := w.fleet(4, 3)
			for _, n := range nodes {
				is.NoErr(n.state.Apply(ticket(1)))
			}
			n := w.add("zone-1")
			n.Start()
			<-n.Ready()
			is.Equal(n.state.Number(), core.TicketNumber(1))
		}},
		{"peers no longer keep the tickets that a new instance lacks", func(is *is.I, w *world) {
			nodes := w.fleet(4, 3)
			w.platform(down)
			for _, n := range nodes {
				is.NoErr(n.state.Load(&wire.Snapshot{Number: 5000}))
			}
			n := w.add("zone-1", func(s *conf.Settings) { s.Seeds = []string{nodes[1].peer.Address} })
			n.Start()
			<-n.Ready()
			is.Equal(n.state.Number(), core.TicketNumber(5000))
		}},
		{"lagging list and an instance that says that it leaves", func(is *is.I, w *world) {
			nodes := w.fleet(12, 3)
			nodes[4].Leave(context.Background())
			time.Sleep(3 * time.Second)
			w.setListed(nodes[4], member.StateLive) // the list changes, but does not know yet
			time.Sleep(3 * time.Second)
			for _, n := range nodes {
				is.True(n.members.Leaving(nodes[4].peer.ID))
			}
			nodes[4].Close()
			nodes[4].make()
			nodes[4].Start()
			time.Sleep(10 * time.Second)
			for _, n := range nodes {
				is.True(!n.members.Leaving(nodes[4].peer.ID))
			}
		}},
		{"relay of a failure domain dies and another takes over", func(is *is.I, w *world) {
			// In a single failure domain nobody else hears of the store.
			nodes := w.fleet(8, 1)
			dead := map[core.InstanceID]bool{}
			for _, p := range nodes[0].members.Relays(time.Now(), "zone-0", 2) {
				dead[p.ID] = true
			}
			w.cut(func(a, b *node) error {
				if dead[a.peer.ID] || dead[b.peer.ID] {
					return errSilentPeer
				}
				return nil
			})
			w.platform(func(n *node) error {
				if dead[n.peer.ID] {
					return errSilentPeer
				}
				return nil
			})
			w.accept()
			for range 100 {
				time.Sleep(200 * time.Millisecond)
				for _, n := range nodes {
					if !dead[n.peer.ID] {
						is.NoErr(n.Fresh())
					}
				}
			}
			for _, n := range nodes {
				is.True(dead[n.peer.ID] || n.state.Number() == 1)
			}
		}},
		{"only relays watch, and watching moves with the role", func(is *is.I, w *world) {
			nodes := w.fleet(12, 3)
			time.Sleep(3 * time.Second)
			is.Equal(w.watching(), 6)
			for _, p := range nodes[0].members.Relays(time.Now(), "zone-1", 2) {
				for _, n := range nodes {
					if n.peer.ID == p.ID {
						n.Leave(context.Background())
					}
				}
			}
			time.Sleep(10 * time.Second)
			is.Equal(w.watching(), 6)
		}},
		{"snapshots are complete, few, and load at a start", func(is *is.I, w *world) {
			for range 6 {
				w.add("zone-0", func(s *conf.Settings) { s.SnapshotEvery = 10 }).Start()
			}
			for range 100 {
				w.accept()
				time.Sleep(500 * time.Millisecond)
			}
			time.Sleep(10 * time.Second)
			objects, err := w.nodes[0].listSnapshots(context.Background())
			is.NoErr(err)
			stored := completeSnapshots(objects)
			is.True(len(stored) > 0 && len(stored) <= 2*keptSnapshots)
			is.True(w.puts <= 20) // two relays may both write
			w.mu.Lock()
			for k := range w.objects {
				if k < "tickets/0000000090" && k > "tickets/" {
					delete(w.objects, k)
				}
			}
			w.mu.Unlock()
			w.cut(separated)
			n := w.add("zone-0")
			n.Start()
			<-n.Ready()
			is.Equal(n.state.Number(), core.TicketNumber(100))
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, w *world) { tt.run(is.New(t), w) })
		})
	}
}

// Guards against relays that the whole failure domain asks for their contact with the store, which made their traffic
// three times that of the others, and against contacts that reach the last instance too late because relays are spared.
func TestRelaysAreSpared(t *testing.T) {
	inBubble(t, func(t *testing.T, w *world) {
		is := is.New(t)
		const size, domains, seconds = 172, 2, 30 // 86 in a domain, as at the target size
		nodes := w.fleet(size, domains)
		time.Sleep(30 * time.Second)
		w.mu.Lock()
		for _, n := range nodes {
			n.asked, n.strangers = 0, 0
		}
		w.mu.Unlock()
		var oldest, sum time.Duration
		for range seconds {
			time.Sleep(time.Second)
			for _, n := range nodes {
				age := n.vouch.storeAge(time.Now())
				oldest, sum = max(oldest, age), sum+age
			}
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		relays, relayed, all, strangers := 0, 0, 0, 0
		for _, n := range nodes {
			all += n.asked
			strangers += n.strangers
			if n.members.IsRelay(time.Now(), int(n.cfg.GetRelaysPerDomain())) {
				relays++
				relayed += n.asked
			}
		}
		perRelay := float64(relayed) / float64(relays) / seconds
		t.Logf("asked per second: relays %.2f, all %.2f; asked by others than partners and children %d times; store contact %v in the mean, %v at most",
			perRelay, float64(all)/size/seconds, strangers, sum/(size*seconds), oldest)
		is.True(perRelay < 5) // 3 by children, 1 by partners
		// Each is likely to need a new connection; there were 899 to 1,542 when instances did not ask their parents.
		is.True(strangers < size)
		is.True(oldest < 7*time.Second) // the limit is 10 s
	})
}

// Guards against relays that hand each ticket to much of their failure domain, since they hear of it first, and against
// tickets that take long because relays tell few.
func TestRelaysHandOutFewTickets(t *testing.T) {
	inBubble(t, func(t *testing.T, w *world) {
		is := is.New(t)
		const size, domains, tickets = 80, 4, 20
		nodes := w.fleet(size, domains)
		time.Sleep(10 * time.Second)
		var slowest time.Duration
		for range tickets {
			number := core.TicketNumber(w.accept().GetNumber())
			began := time.Now()
			for slices.ContainsFunc(nodes, func(n *node) bool { return n.state.Number() < number }) {
				time.Sleep(10 * time.Millisecond)
			}
			slowest = max(slowest, time.Since(began))
			time.Sleep(6 * time.Second)
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		relays, byRelays := 0, 0
		for _, n := range nodes {
			if n.members.IsRelay(time.Now(), int(n.cfg.GetRelaysPerDomain())) {
				relays++
				byRelays += n.handed
			}
		}
		perTicket := float64(byRelays) / float64(relays) / tickets
		t.Logf("a relay hands each ticket to %.2f; slowest %v", perTicket, slowest)
		is.True(perTicket < 1.4)         // 1.80 to 2.22 when relays told three
		is.True(slowest < 4*time.Second) // 1.94 s when relays told three; the budget is 10 s
	})
}

// Guards against a state that moves backwards or skips a ticket when pushes arrive crossed, doubled or with gaps.
func TestCrossedPushes(t *testing.T) {
	inBubble(t, func(t *testing.T, w *world) {
		is := is.New(t)
		nodes := w.fleet(2, 3)
		w.platform(down)
		last := core.TicketNumber(0)
		for _, n := range []uint64{3, 1, 1, 3, 2, 6, 5, 2, 4, 4, 6} {
			d := &wire.Delta{Digest: nodes[1].digest(), Tickets: one(ticket(n))}
			_, err := (&server{nodes[0].Relay}).Push(context.Background(), d)
			is.NoErr(err)
			is.True(nodes[0].state.Number() >= last)
			last = nodes[0].state.Number()
			is.Equal(nodes[0].Config().Teams["tallinn"].GetWeight(), int64(last))
		}
		is.Equal(last, core.TicketNumber(6))
		is.Equal(len(nodes[0].pending), 0)
	})
}

// Guards against vouching with digests that were held back on the way.
func TestOldDigestsDoNotVouch(t *testing.T) {
	inBubble(t, func(t *testing.T, w *world) {
		is := is.New(t)
		n := w.fleet(4, 3)[0]
		held := w.nodes[1].digest()
		w.platform(down)
		w.cut(separated)
		time.Sleep(11 * time.Second)
		_, err := (&server{n.Relay}).Exchange(context.Background(), held)
		is.NoErr(err)
		_, err = (&server{n.Relay}).Push(context.Background(), &wire.Delta{Digest: held})
		is.NoErr(err)
		is.True(n.Fresh() != nil)
	})
}

// Guards against snapshots whose chunks exceed the object API's limit or differ between two writers, and against half-written ones.
func TestChunks(t *testing.T) {
	is := is.New(t)
	s := &wire.Snapshot{Number: 7}
	for i := range 3000 {
		s.Entries = append(s.Entries, &wire.Entry{SetBy: 1, Item: &wire.Item{Body: &wire.Item_Service{
			Service: &wire.Service{Name: fmt.Sprintf("s%04d-%0900d", i, i)},
		}}})
	}
	parts := chunks(s)
	is.True(len(parts) > 2)
	var objects []core.Object
	for i, p := range parts {
		is.True(len(p.String()) < 1_000_000)
		objects = append(objects, core.Object{Key: chunkKey(7, i, len(parts))})
	}
	is.Equal(len(completeSnapshots(objects)), 1)
	for i := range objects {
		part := append(append([]core.Object{}, objects[:i]...), objects[i+1:]...)
		is.Equal(len(completeSnapshots(part)), 0)
	}
}
