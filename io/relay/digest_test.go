package relay

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/wire"
)

// TestPushesOutOfOrder guards against a state that goes back or skips a ticket when pushes arrive out of order, twice or
// with gaps.
func TestPushesOutOfOrder(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, w *testCluster) {
		is := is.New(t)
		nodes := w.startInstances(2, 3)
		w.setPlatformFault(platformRefuses)
		last := core.TicketNumber(0)
		for _, n := range []uint64{3, 1, 1, 3, 2, 6, 5, 2, 4, 4, 6} {
			d := &wire.Delta{Digest: nodes[1].digest(), Tickets: oneTicket(ticket(n))}
			_, err := (&server{nodes[0].Gossiper}).Push(context.Background(), d)
			is.NoErr(err)
			is.True(nodes[0].state.Number() >= last)
			last = nodes[0].state.Number()
			is.Equal(nodes[0].Config().Teams["tallinn"].GetWeight(), int64(last))
		}
		is.Equal(last, core.TicketNumber(6))
		is.Equal(len(nodes[0].pending), 0)
	})
}

// TestDelayedDigestsDoNotConfirmState guards against delayed digests that confirm a state as current.
func TestDelayedDigestsDoNotConfirmState(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, w *testCluster) {
		is := is.New(t)
		n := w.startInstances(4, 3)[0]
		held := w.nodes[1].digest()
		w.setPlatformFault(platformRefuses)
		w.setPeerFault(peersRefuse)
		time.Sleep(11 * time.Second)
		_, err := (&server{n.Gossiper}).Exchange(context.Background(), held)
		is.NoErr(err)
		_, err = (&server{n.Gossiper}).Push(context.Background(), &wire.Delta{Digest: held})
		is.NoErr(err)
		is.True(n.CheckFresh() != nil)
	})
}

// TestChunks guards against chunks above the object API's limit and against loading an incomplete snapshot.
func TestChunks(t *testing.T) {
	is := is.New(t)
	s := &wire.Snapshot{Number: 7}
	for i := range 3000 {
		s.Entries = append(s.Entries, &wire.Entry{SetBy: 1, Item: &wire.Item{Body: &wire.Item_Service{
			Service: &wire.Service{Name: fmt.Sprintf("s%04d-%0900d", i, i)},
		}}})
	}
	parts := splitSnapshot(s)
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
