package store

import "sync"

// Kinds of calls and their results in Counts.
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

type counts struct {
	mu sync.Mutex
	n  map[string]int64
}

func (c *counts) add(kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.n == nil {
		c.n = map[string]int64{}
	}
	c.n[kind]++
}

func (c *counts) all() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := make(map[string]int64, len(c.n))
	for k, n := range c.n {
		m[k] = n
	}
	return m
}
