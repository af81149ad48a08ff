package pulse_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"snipeshed/core"
	"snipeshed/core/tally"
	"snipeshed/io/event"
	"snipeshed/io/pulse"
	"snipeshed/stand/plat"
)

// node is one instance's pulse.
type node struct {
	*pulse.Pulse
	self  core.Peer
	tally *tally.Tally

	mu      sync.Mutex
	state   pulse.State
	leaving map[core.EndpointID]bool
}

func start(t *testing.T, id string) *node {
	t.Helper()
	return startIn(t, id, "d")
}

func startIn(t *testing.T, id string, domain core.FailureDomain) *node {
	t.Helper()
	n := &node{
		self: core.Peer{ID: core.InstanceID(id), Address: plat.Unused(), FailureDomain: domain}, tally: tally.New(),
		leaving: map[core.EndpointID]bool{},
	}
	log := event.New(t.Output(), n.self.ID, logrus.ErrorLevel)
	p, err := pulse.New(n.self, n.tally, log, pulse.Hooks{
		State: func(time.Time) pulse.State {
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.state
		},
		Leaving: func(_ time.Time, id core.EndpointID) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.leaving[id] = true
		},
		Refusing: func(time.Time, core.EndpointID) {},
		Newer:    func() {},
	})
	if err != nil {
		t.Fatal(err)
	}
	n.Pulse = p
	p.Start()
	t.Cleanup(func() {
		p.Close()
		log.Close()
	})
	return n
}

func (n *node) set(s pulse.State) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.state = s
}

func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(4 * time.Second); !cond(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not in time: %s", what)
		}
	}
}

// TestHear guards against instances that do not learn of each other, of load or of leaving endpoints.
func TestHear(t *testing.T) {
	a, b := start(t, "a"), start(t, "b")
	a.Add(core.Peer{ID: "seed-0", Address: b.self.Address}) // known by its address only
	eventually(t, "both are live", func() bool { return a.Instances() == 2 && b.Instances() == 2 })
	a.tally.Add("e", tally.Use{Calls: 3, Tokens: 100})
	a.set(pulse.State{Rules: 7, Leaving: []core.EndpointID{"gone"}})
	a.Wake()
	eventually(t, "load is heard", func() bool { return b.tally.Of(time.Now(), "e").Calls == 3 })
	eventually(t, "the newer version is heard", func() bool { return len(b.Ahead(6, 0)) == 1 && len(b.Ahead(7, 0)) == 0 })
	eventually(t, "the leaving endpoint is heard", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.leaving["gone"]
	})
	a.Close()
	eventually(t, "a is lost, and its load with it", func() bool {
		return b.Instances() == 1 && b.tally.Of(time.Now(), "e").Calls == 0
	})
}

// TestWatches guards against a store that nobody reads because those that should cannot (pattern: the store turns some
// instances away), and against one that all read.
func TestWatches(t *testing.T) {
	nodes := []*node{start(t, "a"), start(t, "b"), start(t, "c"), start(t, "d"), start(t, "e"), start(t, "f")}
	for _, n := range nodes {
		n.Add(nodes[0].self)
		nodes[0].Add(n.self)
		for _, m := range nodes {
			n.Add(m.self)
		}
	}
	eventually(t, "all are live", func() bool {
		for _, n := range nodes {
			if n.Instances() != len(nodes) {
				return false
			}
		}
		return true
	})
	watching := func() (out []*node) {
		for _, n := range nodes {
			n.mu.Lock()
			s := n.state
			n.mu.Unlock()
			if n.Watches(2, s.StoreDown, s.StoreUp) && !s.StoreDown {
				out = append(out, n)
			}
		}
		return out
	}
	eventually(t, "two watch", func() bool { return len(watching()) == 2 })
	turnedAway := watching()
	for _, n := range turnedAway {
		n.set(pulse.State{StoreDown: true})
	}
	eventually(t, "two others watch", func() bool { return len(watching()) == 2 })
	for _, n := range nodes {
		n.set(pulse.State{StoreDown: true})
	}
	eventually(t, "the store counts as down", func() bool {
		for _, n := range nodes {
			if !n.Outage(true, false) {
				return false
			}
		}
		return true
	})
	nodes[3].set(pulse.State{StoreUp: true})
	eventually(t, "one that reaches it ends the outage", func() bool { return !nodes[0].Outage(true, false) })
}

// TestTellNear guards against a large fleet in which each call is told to every instance at once, which took the bandwidth
// between failure domains, and against one in which those far away are never told.
func TestTellNear(t *testing.T) {
	const size, domains = 36, 3
	var nodes []*node
	for i := range size {
		n := startIn(t, fmt.Sprint("i", i), core.FailureDomain(fmt.Sprint("d", i%domains)))
		if i > 0 {
			n.Add(nodes[0].self)
		}
		nodes = append(nodes, n)
		for _, m := range nodes {
			nodes[0].Add(m.self)
			n.Add(m.self)
			m.Add(n.self)
		}
	}
	sender := nodes[0]
	eventually(t, "all are live", func() bool {
		for _, n := range nodes {
			if n.Instances() != size {
				return false
			}
		}
		return true
	})
	heard := func(domain core.FailureDomain, calls int) (n int) {
		for _, m := range nodes[1:] {
			if m.self.FailureDomain == domain && m.tally.Of(time.Now(), "e").Calls == calls {
				n++
			}
		}
		return n
	}
	farLater := 0
	for calls := 1; calls <= 5; calls++ {
		sender.tally.Add("e", tally.Use{Calls: 1})
		sender.Tell("d1", false)
		eventually(t, "the endpoint's domain and the own one have heard", func() bool {
			return heard("d1", calls) == size/domains && heard("d0", calls) == size/domains-1
		})
		if heard("d2", calls) < size/domains {
			farLater++ // unless a regular datagram has come in between
		}
		eventually(t, "all have heard", func() bool { return heard("d2", calls) == size/domains })
	}
	if farLater == 0 {
		t.Error("each call was told to all domains at once")
	}
}
