package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/core/state"
)

// TestStrayObjects guards against instances that follow no further ticket because an object of another writer, whose key is not
// that of a ticket, lies among the tickets: in the list that is read at start, over a whole page, and in the watch.
func TestStrayObjects(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, w *testCluster) {
		is := is.New(t)
		put := func(name string) {
			_, err := w.store.Put(t.Context(), state.TicketPrefix+name, []byte("\xff{"), 0)
			is.NoErr(err)
		}
		for i := range 2 * ticketPageSize {
			put(fmt.Sprintf("readme-%d", i))
		}
		put("!")
		put("0000000002x")
		w.acceptTicket()
		nodes := w.startInstances(4, 2)
		is.Equal(w.minNumber(), core.TicketNumber(1))
		put("00000000020")
		put("zzz")
		w.acceptTicket()
		time.Sleep(5 * time.Second)
		is.Equal(w.minNumber(), core.TicketNumber(2))
		nodes[0].restart()
		time.Sleep(15 * time.Second)
		is.Equal(w.staleCount(), 0)
	})
}

// TestStrayObjectInTrim guards against a log that grows without end because an object of another writer lies before its oldest
// ticket.
func TestStrayObjectInTrim(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, _ *testCluster) {
		is := is.New(t)
		w := newTrimCluster(t)
		defer w.close()
		_, err := w.store.Put(t.Context(), state.TicketPrefix+"!", []byte("\xff{"), 0)
		is.NoErr(err)
		for range 3 {
			is.NoErr(w.step("accept"))
			is.NoErr(w.step("snapshot"))
		}
		is.NoErr(w.step("wait"))
		is.NoErr(w.step("wait"))
		deleted, err := w.nodes[0].trimLog(t.Context())
		is.NoErr(err)
		is.True(deleted > 0)
	})
}
