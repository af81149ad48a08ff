package pulse

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/stand/revs"
	"snipeshed/wire"
)

func leavingEngines(n int) (out []core.Incarnation) {
	for i := range n {
		out = append(out, core.Incarnation{ID: core.EndpointID(fmt.Sprint("i-", i)), Started: 1})
	}
	return out
}

// TestLeavingInFull guards against full datagrams that each list hundreds of leaving engines, which each instance of a large fleet
// sends to all others: 12 KB each fill links of 10 Mbit/s.
func TestLeavingInFull(t *testing.T) {
	is := is.New(t)
	s := State{Leaving: leavingEngines(500)}
	is.Equal(len(testPulse(t, 200).fullMessage(testTime, s).GetLeaving()), maxLeavingInFull)
	s = State{Leaving: leavingEngines(500)}
	is.Equal(len(testPulse(t, 10).fullMessage(testTime, s).GetLeaving()), 500)
}

// TestAnnouncementPassedOn guards against an announcement that ends at the few instances which its sender has told, and against one
// that is passed on again and again.
func TestAnnouncementPassedOn(t *testing.T) {
	is := is.New(t)
	p := testPulse(t, 60)
	now := testTime
	d := &wire.Pulse{From: "p0", Run: 1, Seq: 2, Partial: true, Announcement: true, Rules: 4, Endpoints: 9}
	encodeLeaving(d, leavingEngines(3))
	p.handleDatagram(now, d)
	is.Equal(len(p.newerPeers(3, revs.At(9))), 1) // p0 has a newer configuration
	is.True(p.pending.take().announce)
	is.Equal(len(p.announced.takeNew(now, leavingEngines(4))), 4)

	d.Seq = 3
	p.handleDatagram(now, d)
	is.True(!p.pending.take().announce) // these were announced
	is.Equal(len(p.announced.takeNew(now.Add(2*announcedSpan), leavingEngines(4))), 4)
}

// TestAnnouncementCoverage guards against an announcement that misses a part of a large fleet, which would learn the change seconds
// later from full datagrams.
func TestAnnouncementCoverage(t *testing.T) {
	is := is.New(t)
	const instances, runs = 300, 50
	reached := 0
	for range runs {
		told := map[int]bool{0: true}
		for next := []int{0}; len(next) > 0; {
			from := next[0]
			next = next[1:]
			for _, to := range sample(addresses(instances, from), announceFanout) {
				if n := int(to.Port()); !told[n] && rand.Float64() > 0.01 { // some datagrams are lost
					told[n] = true
					next = append(next, n)
				}
			}
		}
		reached += len(told)
	}
	is.True(float64(reached) >= 0.98*instances*runs)
}

// addresses returns addresses with the numbers of the instances as ports, without that of one.
func addresses(n, except int) []netip.AddrPort {
	var out []netip.AddrPort
	for i := range n {
		if i != except {
			out = append(out, netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i)))
		}
	}
	return out
}
