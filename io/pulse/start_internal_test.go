package pulse

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/stand/revs"
	"snipeshed/wire"
)

// TestCostOfDatagram guards against a datagram that costs time in proportion to the number of instances (load pattern: when all
// instances of a large fleet start in the same moment, each soon gets hundreds of datagrams).
func TestCostOfDatagram(t *testing.T) {
	// Many short rounds: beside other work, a round of several ms is seldom left alone, and the best one must be.
	const (
		datagrams = 500
		rounds    = 50
	)
	cost := func(instances int) time.Duration {
		p := testPulse(t, instances)
		p.OnUpdate = func() { p.newerPeers(1, revs.At(1)) }
		seq := uint64(1)
		best := time.Hour
		for range rounds {
			begun := time.Now()
			for range datagrams {
				seq++
				p.handleDatagram(testTime, &wire.Pulse{
					From: "p0", Address: "127.0.0.1:2", Run: 1, Seq: seq, Rules: 1, Endpoints: 1, Members: uint32(instances + 1),
				})
			}
			best = min(best, time.Since(begun))
		}
		return best / datagrams
	}
	small, large := cost(30), cost(2000)
	t.Logf("%v with 30 instances, %v with 2,000", small, large)
	is.New(t).True(large < 5*small) // no more than caches account for; 2,000 instances are 67 times as many
}

// TestGreetingsOfStart guards against an instance that sends its state to all others for each one that it finds (load pattern: when
// all instances of a large fleet start in the same moment, each finds hundreds).
func TestGreetingsOfStart(t *testing.T) {
	is := is.New(t)
	const known, newcomers = 40, 60
	oldAddress, toOld := countDatagrams(t)
	newAddress, toNew := countDatagrams(t)
	p := testPulse(t, 0)
	p.conn = listenUDP(t)
	p.wake = make(chan struct{}, 1)
	p.ctx, p.stop = context.WithCancel(t.Context())
	for i := range known {
		p.applyFull(time.Now(), &wire.Pulse{From: fmt.Sprint("old", i), Address: oldAddress, Run: 1, Seq: 1})
	}
	p.Start()
	defer p.Close()
	for i := range newcomers {
		p.Add(core.Peer{ID: core.InstanceID(fmt.Sprint("new", i)), Address: newAddress})
		time.Sleep(2 * coalesceDelay)
	}
	time.Sleep(100 * time.Millisecond)
	is.True(toNew.Load() >= newcomers)
	is.True(toOld.Load() <= 10*known) // full datagrams at their intervals, and heartbeats
}
