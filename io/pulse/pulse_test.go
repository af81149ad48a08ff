package pulse_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"snipeshed/core"
	"snipeshed/core/blame"
	"snipeshed/core/tally"
	"snipeshed/io/event"
	"snipeshed/io/pulse"
	"snipeshed/stand/plat"
)

// node is the Pulse of one instance with the state that it sends and the leaving endpoints that others reported to it.
type node struct {
	*pulse.Pulse
	self  core.Peer
	loads *tally.LoadTable

	mu      sync.Mutex
	state   pulse.State
	leaving map[core.Incarnation]bool
	blame   *blame.Tracker

	onUpdate func()
}

func start(t *testing.T, id string) *node {
	t.Helper()
	return startIn(t, id, "d")
}

func startIn(t *testing.T, id string, domain core.FailureDomain) *node {
	t.Helper()
	n := &node{
		self: core.Peer{ID: core.InstanceID(id), Address: plat.UnusedAddress(), FailureDomain: domain}, loads: tally.New(),
		leaving: map[core.Incarnation]bool{}, blame: blame.New(),
	}
	log := event.New(t.Output(), n.self.ID, logrus.ErrorLevel)
	p, err := pulse.New(n.self, n.loads, log, pulse.Hooks{
		State: func(now time.Time) pulse.State {
			n.mu.Lock()
			defer n.mu.Unlock()
			s := n.state
			s.Blame = n.blame.Report(now)
			return s
		},
		OnLeaving: func(_ time.Time, _ core.Revision, inc core.Incarnation) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.leaving[inc] = true
		},
		OnRefusing: func(time.Time, core.EndpointID) {},
		OnBlame:    func(now time.Time, r core.BlameReport) { n.blame.Merge(now, r) },
		OnUpdate: func() {
			n.mu.Lock()
			f := n.onUpdate
			n.mu.Unlock()
			if f != nil {
				f()
			}
		},
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
			t.Fatalf("timed out after 4 s: %s", what)
		}
	}
}

// TestExchange guards against instances that do not find each other or do not receive load, versions or leaving endpoints.
func TestExchange(t *testing.T) {
	a, b := start(t, "a"), start(t, "b")
	a.Add(core.Peer{ID: "seed-0", Address: b.self.Address}) // known only by its address
	eventually(t, "both are live", func() bool { return a.Instances() == 2 && b.Instances() == 2 })
	a.loads.AddOwn("e", tally.Load{Calls: 3, Tokens: 100})
	a.set(pulse.State{ConfigVersion: 7, Leaving: []core.Incarnation{{ID: "gone", Started: 5}}})
	a.Broadcast()
	eventually(t, "b receives a's load", func() bool { return b.loads.Load(time.Now(), "e").Calls == 3 })
	eventually(t, "b receives the newer version", func() bool {
		return len(b.NewerPeers(6, core.Revision{})) == 1 && len(b.NewerPeers(7, core.Revision{})) == 0
	})
	eventually(t, "b receives the leaving endpoint", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.leaving[core.Incarnation{ID: "gone", Started: 5}]
	})
	a.Close()
	eventually(t, "a counts as lost and its load is gone", func() bool {
		return b.Instances() == 1 && b.loads.Load(time.Now(), "e").Calls == 0
	})
}

// TestBlameExchange guards against instances that do not learn which prompt parts crash engines, or that these were cleared, also
// if they start later.
func TestBlameExchange(t *testing.T) {
	a, b := start(t, "a"), start(t, "b")
	a.Add(b.self)
	parts := []core.PromptPart{"bad"}
	quarantined := func(n *node) func() bool {
		return func() bool {
			_, ok := n.blame.Check(time.Now(), parts)
			return ok
		}
	}
	begin := time.Now()
	for i, n := range []*node{a, b, a} {
		n.blame.RecordCrash(time.Now(), core.Incarnation{ID: "e", Started: int64(i)}, parts)
		n.Broadcast()
		time.Sleep(100 * time.Millisecond)
	}
	eventually(t, "both quarantine the part", func() bool { return quarantined(a)() && quarantined(b)() })
	if d := time.Since(begin); d > 2*time.Second {
		t.Errorf("agreement took %v", d)
	}
	late := start(t, "late")
	late.Add(a.self)
	eventually(t, "a later instance quarantines the part", quarantined(late))
	late.blame.RecordAnswer(time.Now(), parts)
	late.Broadcast()
	eventually(t, "an answer clears the part everywhere", func() bool { return !quarantined(a)() && !quarantined(b)() })
}

// TestWatcherChoice guards against a store that no instance watches because it rejects the chosen watchers, and against a store
// that all instances watch.
func TestWatcherChoice(t *testing.T) {
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
			reads := n.IsReader(core.StoreAccess{Down: s.StoreDown, Up: s.StoreUp, Watching: s.Reading, Reading: s.Reading}) && !s.StoreDown
			if reads != s.Reading {
				n.set(pulse.State{StoreDown: s.StoreDown, StoreUp: reads, Reading: reads})
				n.Broadcast()
			}
			if reads {
				out = append(out, n)
			}
		}
		return out
	}
	eventually(t, "two watch", func() bool { return len(watching()) == 2 })
	rejected := watching()
	for _, n := range rejected {
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
	eventually(t, "an instance that reaches the store ends the outage", func() bool { return !nodes[0].Outage(true, false) })
}

// TestLoadChangeRecipients guards against two faults in a large fleet: load changes that go to every instance at once and use
// up the bandwidth between failure domains, and load changes that never arrive in the other domains.
func TestLoadChangeRecipients(t *testing.T) {
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
	received := func(domain core.FailureDomain, calls int) (n int) {
		for _, m := range nodes[1:] {
			if m.self.FailureDomain == domain && m.loads.Load(time.Now(), "e").Calls == calls {
				n++
			}
		}
		return n
	}
	delayed := 0
	for calls := 1; calls <= 5; calls++ {
		sender.loads.AddOwn("e", tally.Load{Calls: 1})
		sender.SendLoadChanges("d1", false)
		eventually(t, "the endpoint's domain and the sender's have received it", func() bool {
			return received("d1", calls) == size/domains && received("d0", calls) == size/domains-1
		})
		if received("d2", calls) < size/domains {
			delayed++ // not counted if a full datagram was sent in between
		}
		eventually(t, "all have received it", func() bool { return received("d2", calls) == size/domains })
	}
	if delayed == 0 {
		t.Error("each load change went to all domains at once")
	}
}

// TestPanicInDatagram guards against one malformed datagram, or an unexpected error while it is handled, that ends the process:
// its sender repeats it to every instance.
func TestPanicInDatagram(t *testing.T) {
	a, b := start(t, "a"), start(t, "b")
	var panics atomic.Int32
	a.mu.Lock()
	a.onUpdate = func() {
		if panics.Add(1) <= 3 {
			panic("unexpected")
		}
	}
	a.mu.Unlock()
	b.Add(a.self)
	eventually(t, "datagrams are handled after a panic", func() bool { return panics.Load() > 3 && a.Instances() == 2 })
}
