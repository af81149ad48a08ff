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

// restart replaces the process of an instance by one with an empty state.
func (n *node) restart() {
	n.Close()
	n.state = state.New()
	n.make()
	n.Start()
}

// seeded starts instances that know each other without the instance list.
func (w *world) seeded(size int) []*node {
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

// Guards against an instance that comes up after a restart, in a store outage, with a lower ticket in force than
// it had before or than an answering peer named. Each scenario ends with the store back and nobody stale.
func TestRestartInOutage(t *testing.T) {
	tests := []struct {
		name string
		run  func(is *is.I, w *world, nodes []*node, n *node)
	}{
		{"ticket that only the restarted instance had", func(is *is.I, w *world, nodes []*node, n *node) {
			t1 := w.accept()
			w.platform(down)
			w.cut(func(_, b *node) error {
				if b == n { // its pushes arrive, but nobody can pull the ticket from it
					return errCut
				}
				return nil
			})
			is.NoErr(n.Learn(t1))
			time.Sleep(time.Second)
			is.NoErr(n.Fresh())
			is.Equal(n.state.Number(), core.TicketNumber(1))
			n.restart()
			w.cut(linked)
			for range 60 {
				time.Sleep(time.Second)
				is.True(n.Fresh() != nil || n.state.Number() == 1)
			}
			for _, other := range nodes { // the others, which never had the ticket in force, go on
				is.True(other == n || other.Fresh() == nil)
			}
			nodes[0].restart()
			time.Sleep(5 * time.Second)
			is.NoErr(nodes[0].Fresh())
		}},
		{"peer that names a ticket and is lost before it hands it over", func(is *is.I, w *world, nodes []*node, n *node) {
			w.platform(down)
			ahead := nodes[4]
			is.NoErr(ahead.state.Load(&wire.Snapshot{Number: 1})) // kept by no peer as a ticket, so State has to be called
			var answered atomic.Int64
			w.cut(func(a, b *node) error {
				if a == ahead {
					return errCut
				}
				if b == ahead {
					if asked := answered.Add(1); a != n || asked > 1 {
						return errCut
					}
				}
				return nil
			})
			n.restart()
			time.Sleep(30 * time.Second)
			is.Equal(answered.Load() > 1, true)
			is.True(n.Fresh() != nil || n.state.Number() == 1)
			w.cut(linked)
			time.Sleep(5 * time.Second)
			is.NoErr(n.Fresh())
			is.Equal(n.state.Number(), core.TicketNumber(1))
			w.accept()
		}},
		{"peer that was told of the ticket and does not answer does not hold up the start", func(is *is.I, w *world, nodes []*node, n *node) {
			w.platform(down)
			is.NoErr(nodes[4].state.Apply(ticket(1)))
			w.cut(func(a, b *node) error {
				if a == nodes[4] || b == nodes[4] {
					return errCut
				}
				return nil
			})
			n.restart()
			time.Sleep(10 * time.Second)
			is.NoErr(n.Fresh())
			w.accept()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, w *world) {
				is := is.New(t)
				nodes := w.seeded(6)
				tt.run(is, w, nodes, nodes[3])
				w.cut(linked)
				w.platform(up)
				time.Sleep(15 * time.Second)
				is.Equal(w.stale(), 0)
				is.Equal(w.minNumber(), core.TicketNumber(1))
			})
		})
	}
}
