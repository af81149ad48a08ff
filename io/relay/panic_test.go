package relay

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/core/state"
	"snipeshed/wire"
)

// panickingState panics when it applies the ticket with a number.
type panickingState struct {
	*state.State
	number core.TicketNumber
	panics int
}

func (s *panickingState) Apply(t *wire.Ticket) error {
	if core.TicketNumber(t.GetNumber()) == s.number && s.panics > 0 {
		s.panics--
		panic("index out of range")
	}
	return s.State.Apply(t)
}

// panickingPeer panics in each call, as a decoder might that meets a malformed answer.
type panickingPeer struct{ wire.Peer }

func (panickingPeer) Exchange(context.Context, *wire.Digest) (*wire.Delta, error) {
	panic("nil pointer")
}

// Guards against one malformed message or unexpected error that takes down the process, or ends the work that keeps the
// configuration current.
func TestPanics(t *testing.T) {
	for name, breakNode := range map[string]func(n *node){
		"applying a ticket": func(n *node) { n.Gossiper.state = &panickingState{State: n.state, number: 2, panics: 3} },
		"an answer of each peer": func(n *node) {
			n.dialer = func(string) (wire.Peer, func()) { return panickingPeer{}, func() {} }
		},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, w *testCluster) {
				is := is.New(t)
				for range 4 {
					w.add("zone-0")
				}
				for _, n := range w.nodes {
					breakNode(n)
					n.Start()
				}
				for range 3 {
					w.acceptTicket()
					time.Sleep(5 * time.Second)
				}
				time.Sleep(20 * time.Second)
				is.Equal(w.minNumber(), core.TicketNumber(3))
				is.Equal(w.staleCount(), 0)
			})
		})
	}
}
