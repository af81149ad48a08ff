package batch

import (
	"container/list"

	"snipeshed/core"
)

// cache keeps prompt prefixes by block; blocks in use are pinned, the others are evicted oldest first.
type cache struct {
	blocks  map[uint64]*block
	idle    *list.List // of *block, oldest first
	size    core.Tokens
	limit   int
	removed []uint64
}

type block struct {
	hash uint64
	refs int
	idle *list.Element
}

func newCache(cfg Config) *cache {
	return &cache{
		blocks: map[uint64]*block{}, idle: list.New(), size: cfg.BlockTokens,
		limit: int(max(cfg.CacheTokens, 0) / cfg.BlockTokens),
	}
}

func (c *cache) pinnedTokens() core.Tokens {
	return core.Tokens(len(c.blocks)-c.idle.Len()) * c.size
}

func (c *cache) idleTokens() core.Tokens { return core.Tokens(c.idle.Len()) * c.size }

// match returns how many leading blocks are in the cache, and how many of these are idle.
func (c *cache) match(prefixes []uint64) (found, idle int) {
	for _, h := range prefixes {
		b := c.blocks[h]
		if b == nil {
			break
		}
		found++
		if b.refs == 0 {
			idle++
		}
	}
	return found, idle
}

// pin keeps a block, adding it when it is missing, and reports whether it was added.
func (c *cache) pin(hash uint64) (added bool) {
	b := c.blocks[hash]
	if b == nil {
		b = &block{hash: hash}
		c.blocks[hash] = b
		added = true
	}
	if b.idle != nil {
		c.idle.Remove(b.idle)
		b.idle = nil
	}
	b.refs++
	return added
}

// unpin releases blocks, the deepest first, so that a chain is evicted from its end.
func (c *cache) unpin(prefixes []uint64) {
	for i := len(prefixes) - 1; i >= 0; i-- {
		b := c.blocks[prefixes[i]]
		if b.refs--; b.refs == 0 {
			b.idle = c.idle.PushBack(b)
		}
	}
	for c.idle.Len() > c.limit {
		c.evict()
	}
}

func (c *cache) evict() {
	b := c.idle.Remove(c.idle.Front()).(*block)
	delete(c.blocks, b.hash)
	c.removed = append(c.removed, b.hash)
}
