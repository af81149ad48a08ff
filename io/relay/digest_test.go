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
