package fleet

import (
	"slices"

	"snipeshed/core"
	"snipeshed/stand/runner"
)

// Pool is the pool of the fleet's model runners if all of them are in one region.
const Pool = core.PoolID(Model + "/0")

// List returns a copy of Nodes; unlike reading Nodes, it is safe while AddNode runs.
func (f *Fleet) List() []*Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.Nodes)
}

// Owner returns the instance that considers itself the owner of Pool, and one that doesn't; either may be nil.
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

func (f *Fleet) sumOverRunners(count func(runner.State) int64) int {
	n := 0
	for _, r := range f.Runners {
		n += int(count(r.State()))
	}
	return n
}

// Started returns the number of generations that all model runners started.
func (f *Fleet) Started() int {
	return f.sumOverRunners(func(s runner.State) int64 { return s.Started })
}

// OpenStreams returns the number of open streams at all model runners.
func (f *Fleet) OpenStreams() int {
	return f.sumOverRunners(func(s runner.State) int64 { return s.OpenStreams })
}

// Canceled returns the number of canceled generations at all model runners.
func (f *Fleet) Canceled() int {
	return f.sumOverRunners(func(s runner.State) int64 { return s.Canceled })
}

// Resumed returns the number of resumed streams at all model runners.
func (f *Fleet) Resumed() int {
	return f.sumOverRunners(func(s runner.State) int64 { return s.Resumed })
}

// Starts returns how many times the model runners together started the generation of one request.
func (f *Fleet) Starts(id core.RequestID) int {
	n := 0
	for _, r := range f.Runners {
		n += r.Starts(id)
	}
	return n
}

// Serving returns the index of the last model runner with an open stream, or -1.
func (f *Fleet) Serving() int {
	found := -1
	for i, r := range f.Runners {
		if r.State().OpenStreams > 0 {
			found = i
		}
	}
	return found
}

// Busiest returns the index of the model runner that started the most generations.
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

// Counted returns the sum of a metrics counter over all instances.
func (f *Fleet) Counted(counter string) int64 {
	n := int64(0)
	for _, node := range f.List() {
		n += node.Meter().Value(counter)
	}
	return n
}

// Watch polls the ticket number in force at each instance and calls onLower when it is lower than at the previous poll,
// until done returns true.
func (f *Fleet) Watch(done func() bool, onLower func(n *Node, from, to core.TicketNumber)) {
	last := map[*Node]core.TicketNumber{}
	_ = Wait(watchTimeout, "end of the watch", func() bool {
		for _, n := range f.List() {
			now := n.Ticket()
			if now < last[n] {
				onLower(n, last[n], now)
			}
			last[n] = now
		}
		return done()
	})
}
