package relay

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"snipeshed/core"
	"snipeshed/core/state"
	"snipeshed/wire"
)

// TestTicketOfANewerFormat guards against older instances that serve a state without an accepted ticket, apply half of
// it, confirm each other's old state as current, or do not forward the ticket to instances that could apply it.
func TestTicketOfANewerFormat(t *testing.T) {
	const size, domains = 9, 3
	cut := func(reached func(*node) bool) func(*node) error {
		return func(n *node) error {
			if reached(n) {
				return nil
			}
			return errRefused
		}
	}
	old := func(n *node) bool { return n.state.Format() == 0 }
	for name, c := range map[string]struct {
		old int
		// storeErr applies from before the ticket is accepted, and after from 2 s later on.
		storeErr, after func(*node) error
	}{
		"one old instance":                          {1, platformUp, platformUp},
		"most are old":                              {7, platformUp, platformUp},
		"most are old, then the store is down":      {7, platformUp, platformRefuses},
		"few are old, then the store is down":       {2, platformUp, platformRefuses},
		"only old instances reach the object API":   {6, cut(old), cut(old)},
		"only newer instances reach the object API": {6, cut(func(n *node) bool { return !old(n) }), cut(func(n *node) bool { return !old(n) })},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, w *testCluster) {
				is := is.New(t)
				for i := range size {
					n := w.add(fmt.Sprintf("zone-%d", i%domains))
					if i >= c.old {
						n.state = state.New(state.WithFormat(1))
						n.make()
					}
				}
				nodes := w.startInstances(0, 1)
				time.Sleep(5 * time.Second)
				w.acceptTicket()
				time.Sleep(10 * time.Second)
				w.setPlatformFault(c.storeErr)
				sent := w.acceptNewerFormat()
				time.Sleep(2 * time.Second)
				w.setPlatformFault(c.after)
				time.Sleep(8 * time.Second)
				for _, n := range nodes {
					is.Equal(n.state.Number() == 2, !old(n)) // in force within 10 s
					is.Equal(n.state.Number() == 1, old(n))
				}
				time.Sleep(10 * time.Second)
				synctest.Wait()
				for _, n := range nodes {
					// Blocked instances count as leaving, so the others make up half of the members even if they are few.
					is.Equal(core.ErrorKindOf(n.CheckFresh()) == core.KindStaleState, old(n))
					for _, other := range nodes {
						is.Equal(n.members.IsLeaving(other.peer.ID), old(other)) // pools of old instances move to others
					}
					got := n.deltaFor(&wire.Digest{Ticket: 1}).GetTickets()
					is.True(len(got) == 1 && proto.Equal(got[0], sent)) // old instances forward it too
				}
			})
		})
	}
}

// acceptNewerFormat writes the next ticket to the store, in format 1.
func (w *testCluster) acceptNewerFormat() *wire.Ticket {
	w.accepted++
	t := ticket(w.accepted)
	t.Format = 1
	b, _ := state.EncodeTicket(t)
	if _, err := w.store.Put(context.Background(), state.TicketKey(core.TicketNumber(w.accepted)), b, 0); err != nil {
		w.t.Error(err)
	}
	return t
}

// TestHeldTicketsAreUnchanged guards against an older instance that changes a ticket which it forwards, or forwards fewer
// tickets than it holds.
func TestHeldTicketsAreUnchanged(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, w *testCluster) {
		is, n := is.New(t), w.startInstances(1, 1)[0]
		first, second := ticket(1), ticket(2)
		team := first.GetItems()[0].GetTeam().ProtoReflect()
		team.SetUnknown(protowire.AppendVarint(protowire.AppendTag(nil, 1000, protowire.VarintType), 7))
		sent := []*wire.Ticket{proto.CloneOf(second), proto.CloneOf(first)}
		n.applyDelta(&wire.Delta{Tickets: sent})
		is.Equal(core.ErrorKindOf(n.CheckFresh()), core.KindStaleState) // at once
		is.Equal(n.digest().GetHeld(), uint64(2))
		is.Equal(n.digest().GetTicket(), uint64(0))
		is.Equal(n.digest().GetVouchAgeMs(), int64(-1))
		got := n.deltaFor(&wire.Digest{}).GetTickets()
		is.True(slices.EqualFunc(got, []*wire.Ticket{first, second}, func(a, b *wire.Ticket) bool { return proto.Equal(a, b) }))
		is.Equal(len(n.deltaFor(&wire.Digest{Held: 2}).GetTickets()), 0)
	})
}

// TestOlderInstanceStartsAfterNewerTicket guards against an older instance that starts from a snapshot of which it
// understands only a part, and then serves.
func TestOlderInstanceStartsAfterNewerTicket(t *testing.T) {
	for name, c := range map[string]struct {
		reset, snapshot bool
		serves          bool
	}{
		"ticket in the log":                            {false, false, false},
		"ticket in a snapshot only":                    {false, true, false},
		"item set again, ticket in the log":            {true, false, false},
		"item set again, ticket covered by a snapshot": {true, true, true}, // how to return to an older version
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, w *testCluster) {
				is := is.New(t)
				n := w.add("zone-0")
				n.state = state.New(state.WithFormat(1))
				n.make()
				w.startInstances(0, 1)
				w.acceptTicket()
				w.acceptNewerFormat()
				if c.reset {
					w.acceptTicket()
				}
				time.Sleep(5 * time.Second)
				if c.snapshot {
					is.NoErr(n.writeSnapshot(t.Context(), 1))
				}
				late := w.add("zone-0")
				late.Start()
				<-late.Ready() // forwards tickets
				time.Sleep(30 * time.Second)
				is.Equal(late.CheckFresh() == nil, c.serves)
				is.Equal(core.ErrorKindOf(late.CheckFresh()) == core.KindStaleState, !c.serves)
				is.Equal(late.state.Number() >= 2, c.serves)
				is.Equal(n.members.IsLeaving(late.peer.ID), !c.serves)
				is.NoErr(n.CheckFresh())
			})
		})
	}
}

// TestOtherVersionsAreNotSuspected guards against marking an instance suspect, which moves its pools, only because its version
// lacks a method.
func TestOtherVersionsAreNotSuspected(t *testing.T) {
	for name, c := range map[string]struct {
		err     error
		suspect bool
	}{
		"method is not served":   {twirp.NewError(twirp.BadRoute, "no handler for path").WithMeta("twirp_invalid_route", "POST /x"), false},
		"another server answers": {twirp.NewError(twirp.BadRoute, "404"), true},
		"no answer":              {errRefused, true},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, w *testCluster) {
				is, nodes := is.New(t), w.startInstances(2, 1)
				time.Sleep(3 * time.Second)
				p := nodes[1].peer
				is.Equal(nodes[0].call(t.Context(), p, func(context.Context, wire.Peer) error { return c.err }), c.err)
				is.Equal(!slices.Contains(nodes[0].members.Peers(time.Now()), p), c.suspect)
			})
		})
	}
}
