package ring_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/core/ring"
)

// fleet is a fleet of instances in simulated time; a loss reported by one instance reaches all live ones at once.
type fleet struct {
	rng       *rand.Rand
	lossShare float64 // of heartbeats
	now       time.Time
	nodes     map[core.InstanceID]*node
	sent      int
}

type node struct {
	*ring.Detector
	lastHeard map[core.InstanceID]time.Time // of the live instances
	killed    bool
}

func newFleet(n int, lossShare float64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(1, 2)), lossShare: lossShare, now: time.Unix(1000, 0), nodes: map[core.InstanceID]*node{}}
	for i := range n {
		id := core.InstanceID(fmt.Sprint("edge-", i))
		f.nodes[id] = &node{Detector: ring.New(id), lastHeard: map[core.InstanceID]time.Time{}}
	}
	for id, x := range f.nodes {
		for other := range f.nodes {
			if other != id {
				x.lastHeard[other] = f.now
			}
		}
	}
	return f
}

// step lets an interval pass and returns the losses that were reported in it.
func (f *fleet) step() []core.InstanceID {
	f.now = f.now.Add(ring.Interval)
	for id, x := range f.nodes {
		if x.killed {
			continue
		}
		for _, to := range x.Watchers(x.live()) {
			f.sent++
			if y := f.nodes[to]; !y.killed && f.rng.Float64() >= f.lossShare {
				y.lastHeard[id] = f.now
			}
		}
	}
	var reported []core.InstanceID
	for _, x := range f.nodes {
		if !x.killed {
			reported = append(reported, x.Lost(f.now, x.lastHeard)...)
		}
	}
	for _, id := range reported {
		for _, x := range f.nodes {
			delete(x.lastHeard, id)
		}
	}
	return reported
}

func (x *node) live() []core.InstanceID {
	var out []core.InstanceID
	for id := range x.lastHeard {
		out = append(out, id)
	}
	return out
}

// believed returns the most killed instances that some live one still takes for live.
func (f *fleet) believed() (most int) {
	for _, x := range f.nodes {
		n := 0
		for id := range x.lastHeard {
			if f.nodes[id].killed {
				n++
			}
		}
		if !x.killed {
			most = max(most, n)
		}
	}
	return most
}

// TestHerdKilled guards against killed instances that count as live for long in a large fleet, so that nobody watches the store in
// their place and their calls take up room (load pattern: more than half of all instances are killed at the same moment).
func TestHerdKilled(t *testing.T) {
	is := is.New(t)
	f := newFleet(195, 0)
	for range 20 {
		is.Equal(len(f.step()), 0)
	}
	kill := 107
	for _, x := range f.nodes {
		x.killed = kill > 0
		kill--
	}
	begun := f.now
	for f.believed() > 0 && f.now.Sub(begun) < time.Minute {
		f.step()
	}
	is.True(f.now.Sub(begun) <= 10*time.Second)
}

// TestLostHeartbeats guards against live instances that count as lost because datagrams are lost.
func TestLostHeartbeats(t *testing.T) {
	is := is.New(t)
	f := newFleet(60, 0.03)
	reports := 0
	for range 200 { // one minute
		reports += len(f.step())
	}
	is.True(reports <= 2)
}

// TestHeartbeatCost guards against heartbeats whose number an instance grows with the fleet.
func TestHeartbeatCost(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{40, 400} {
		f := newFleet(n, 0)
		for range 10 {
			f.step()
		}
		is.Equal(f.sent, 3*10*n)
	}
}

// TestNewlyWatched guards against an instance that is reported lost as soon as its neighbor is, because it had sent its heartbeats to
// others until then, and against one that is reported because the instance which watches it was paused.
func TestNewlyWatched(t *testing.T) {
	is := is.New(t)
	d := ring.New("self")
	start := time.Unix(1000, 0)
	heard := map[core.InstanceID]time.Time{"a": start.Add(-time.Hour), "b": start.Add(-time.Hour)}
	is.Equal(len(d.Lost(start, heard)), 0)
	is.Equal(len(d.Lost(start.Add(ring.Silence), heard)), 0)
	d.Extend(5 * time.Second)
	is.Equal(len(d.Lost(start.Add(ring.Silence+time.Second), heard)), 0)
	is.Equal(len(d.Lost(start.Add(ring.Silence+6*time.Second), heard)), 2)
}
