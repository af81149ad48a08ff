package fleet

import (
	"slices"

	"snipeshed/core"
	"snipeshed/stand/runner"
)

// Pool is the pool of the fleet's runners when they are of one region.
const Pool = core.PoolID(Model + "/0")

// List returns the instances that were added; unlike Nodes it may be called while one is added.
func (f *Fleet) List() []*Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.Nodes)
}

// Owner returns the owner of Pool by its own view, or nil, and an instance that is not.
func (f *Fleet) Owner() (owner, other *Node) {
	for _, n := range f.List() {
		if n.ID == n.Owner(Pool) {
			owner = n
		} else {
			other = n
		}
	}
	return owner, other
}

func (f *Fleet) sum(count func(runner.State) int64) int {
	n := 0
	for _, r := range f.Runners {
		n += int(count(r.State()))
	}
	return n
}

// Started returns how many generations all runners started.
func (f *Fleet) Started() int { return f.sum(func(s runner.State) int64 { return s.Started }) }

// OpenStreams returns how many streams all runners have open.
func (f *Fleet) OpenStreams() int { return f.sum(func(s runner.State) int64 { return s.OpenStreams }) }

// Canceled returns how many generations were cancelled at all runners.
func (f *Fleet) Canceled() int { return f.sum(func(s runner.State) int64 { return s.Canceled }) }

// Resumed returns how many streams were resumed at all runners.
func (f *Fleet) Resumed() int { return f.sum(func(s runner.State) int64 { return s.Resumed }) }

// Starts returns how many generations the runners started for a request.
func (f *Fleet) Starts(id core.RequestID) int {
	n := 0
	for _, r := range f.Runners {
		n += r.Starts(id)
	}
	return n
}

// Serving returns the number of the last runner with an open stream, or -1.
func (f *Fleet) Serving() int {
	found := -1
	for i, r := range f.Runners {
		if r.State().OpenStreams > 0 {
			found = i
		}
	}
	return found
}

// Busiest returns the number of the runner that started the most generations.
func (f *Fleet) Busiest() int {
	most := 0
	for i, r := range f.Runners {
		if r.State().Started > f.Runners[most].State().Started {
			most = i
		}
	}
	return most
}

// Waiting returns the number of queued calls in the open pools of all instances.
func (f *Fleet) Waiting() int {
	n := 0
	for _, node := range f.List() {
		for _, waiting := range node.Waiting() {
			n += waiting
		}
	}
	return n
}

// Counted returns the sum of a counter over all instances.
func (f *Fleet) Counted(counter string) int64 {
	n := int64(0)
	for _, node := range f.List() {
		n += node.Meter().Value(counter)
	}
	return n
}

// Watch compares each instance's ticket with the one seen before and calls back when it is lower, until done reports true.
func (f *Fleet) Watch(done func() bool, back func(n *Node, from, to core.TicketNumber)) {
	last := map[*Node]core.TicketNumber{}
	_ = Wait(watchLimit, "end of the watch", func() bool {
		for _, n := range f.List() {
			now := n.Ticket()
			if now < last[n] {
				back(n, last[n], now)
			}
			last[n] = now
		}
		return done()
	})
}
