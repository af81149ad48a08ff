package fleet

import (
	"slices"

	"snipeshed/core"
	"snipeshed/stand/runner"
)

// Pool is the pool of the fleet's model runners if all of them are in one region.
const Pool = core.PoolID(Model + "/0")

// NodesCopy returns a copy of Nodes; unlike reading Nodes, it is safe while AddNode runs.
func (f *Fleet) NodesCopy() []*Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.Nodes)
}

// Owner returns the instance that considers itself the owner of Pool, and one that doesn't; either may be nil.
func (f *Fleet) Owner() (owner, other *Node) {
	for _, n := range f.NodesCopy() {
		if n.ID == n.PoolOwner(Pool) {
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

// StartedGenerations returns the number of generations that all model runners started.
func (f *Fleet) StartedGenerations() int {
	return f.sumOverRunners(func(s runner.State) int64 { return s.Started })
}

// OpenStreams returns the number of open streams at all model runners.
func (f *Fleet) OpenStreams() int {
	return f.sumOverRunners(func(s runner.State) int64 { return s.OpenStreams })
}

// CanceledGenerations returns the number of canceled generations at all model runners.
func (f *Fleet) CanceledGenerations() int {
	return f.sumOverRunners(func(s runner.State) int64 { return s.Canceled })
}

// ResumedStreams returns the number of resumed streams at all model runners.
func (f *Fleet) ResumedStreams() int {
	return f.sumOverRunners(func(s runner.State) int64 { return s.Resumed })
}

// StartsOf returns how many times the model runners together started the generation of one request.
func (f *Fleet) StartsOf(id core.RequestID) int {
	n := 0
	for _, r := range f.Runners {
		n += r.StartsOf(id)
	}
	return n
}

// ServingRunner returns the index of the last model runner with an open stream, or -1.
func (f *Fleet) ServingRunner() int {
	found := -1
	for i, r := range f.Runners {
		if r.State().OpenStreams > 0 {
			found = i
		}
	}
	return found
}

// BusiestRunner returns the index of the model runner that started the most generations.
func (f *Fleet) BusiestRunner() int {
	most := 0
	for i, r := range f.Runners {
		if r.State().Started > f.Runners[most].State().Started {
			most = i
		}
	}
	return most
}

// QueuedCalls returns the number of queued calls in the open pools of all instances.
func (f *Fleet) QueuedCalls() int {
	n := 0
	for _, node := range f.NodesCopy() {
		for _, waiting := range node.WaitingCalls() {
			n += waiting
		}
	}
	return n
}

// CounterSum returns the sum of a metrics counter over all instances.
func (f *Fleet) CounterSum(counter string) int64 {
	n := int64(0)
	for _, node := range f.NodesCopy() {
		n += node.Meter().CounterValue(counter)
	}
	return n
}

// WatchTicketRegressions polls the ticket number in force at each instance and calls onLower when it is lower than at
// the previous poll, until done returns true.
func (f *Fleet) WatchTicketRegressions(done func() bool, onLower func(n *Node, from, to core.TicketNumber)) {
	last := map[*Node]core.TicketNumber{}
	_ = Wait(watchTimeout, "end of the watch", func() bool {
		for _, n := range f.NodesCopy() {
			now := n.TicketNumber()
			if now < last[n] {
				onLower(n, last[n], now)
			}
			last[n] = now
		}
		return done()
	})
}
