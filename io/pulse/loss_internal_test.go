package pulse

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/core/tally"
	"snipeshed/wire"
)

// TestReportedLoss guards against a lost instance that counts as live for long in a large fleet, against one that is dropped on the
// report of an instance whose own network is at fault, and against a live instance that can't object.
func TestReportedLoss(t *testing.T) {
	is := is.New(t)
	p := testPulse(t, 3)
	start := testTime
	for _, id := range []core.InstanceID{"p0", "p1", "p2"} {
		p.loads.ReplacePeer(start, start.Add(time.Minute), id, map[core.EndpointID]tally.Load{"e": {Calls: 1}})
	}
	seq := uint64(1)
	report := func(at time.Time, id string, run uint64) {
		seq++
		p.handleDatagram(at, &wire.Pulse{From: "p0", Run: 1, Seq: seq, Partial: true, Lost: []*wire.LostInstance{{Instance: id, Run: run}}})
	}
	report(start.Add(recentlyHeard/2), "p1", 1)
	is.Equal(p.liveCount(), 4) // heard from too recently
	later := start.Add(2 * recentlyHeard)
	report(later, "p1", 9)
	is.Equal(p.liveCount(), 4) // a process that is not known here
	report(later, "p1", 1)
	is.Equal(p.liveCount(), 3)
	is.Equal(p.loads.Load(later, "e").Calls, 3) // its engines may not have noticed yet
	is.Equal(p.loads.Load(later.Add(orphanSpan+time.Second), "e").Calls, 2)

	report(later, "self", 6)
	is.True(!p.pending.take().full) // an earlier process of this instance
	report(later, "self", 7)
	is.True(p.pending.take().full) // the answer to a false report
	p.handleDatagram(later, &wire.Pulse{From: "p1", Address: "127.0.0.1:3", Run: 1, Seq: 2})
	is.Equal(p.liveCount(), 4) // and its effect
}

// TestLossKnownSoon guards against fleets in which the loss of an instance is known too late: if it was one of those that watch the store,
// changes reach nobody until then, and they must be in force within 2 s.
func TestLossKnownSoon(t *testing.T) {
	const knownAfter = 1700 * time.Millisecond
	for _, n := range []int{2, 13, 18, 24, 32, 33, 100} {
		p := testPulse(t, n-1)
		p.conn = listenUDP(t)
		p.watchRing(testTime)
		p.expirePeers(testTime.Add(knownAfter), p.lostAfter())
		p.watchRing(testTime.Add(knownAfter))
		if p.liveCount() == n {
			t.Errorf("%d instances: no silent one counts as lost after %v", n, knownAfter)
		}
	}
}
