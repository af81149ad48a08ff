package store

import "sync"

// Keys of the map that Counts returns: the operations and two kinds of failure.
const (
	opGet       = "get"
	opPut       = "put"
	opDelete    = "delete"
	opList      = "list"
	opWatch     = "watch"
	opInstances = "instances"

	countRefused = "refused"
	countFailed  = "failed"
)

type callCounts struct {
	mu     sync.Mutex
	byKind map[string]int64
}

func (c *callCounts) increment(kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byKind == nil {
		c.byKind = map[string]int64{}
	}
	c.byKind[kind]++
}

func (c *callCounts) snapshot() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := make(map[string]int64, len(c.byKind))
	for k, n := range c.byKind {
		m[k] = n
	}
	return m
}
