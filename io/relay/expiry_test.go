package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against an instance in one half of a divided fleet that becomes stale because random choices left out the same
// reachable peer until its contact expired.
func TestExpiringContactAsked(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, w *testCluster) {
		is := is.New(t)
		for i := range 12 {
			w.add([]string{"zone-0", "zone-1"}[i%2])
		}
		self := w.nodes[0]
		now := time.Now()
		self.mergeList(w.list, 0, w.listRev)
		self.choosePartners(now, false)
		for i, n := range w.nodes[1:] {
			age := 6 * time.Second
			switch {
			case i == 7:
				age = 9 * time.Second // the first to expire
			case i%2 == 0:
				age = 11 * time.Second // the other half, expired
			}
			self.freshness.recordPeerContact(n.peer.ID, now.Add(-age))
		}
		synctest.Wait()
		for tick := range 100 {
			asked := false
			for _, p := range self.peersToAsk(now, tick) {
				asked = asked || p == w.nodes[8].peer
			}
			is.True(asked) // at each tick, as the contact expires in one second
		}
	})
}
