package batch

import (
	"container/list"

	"snipeshed/core"
)

// cache is a prefix cache of prompt blocks. Blocks in use are pinned; the others are idle and evicted in LRU order.
type cache struct {
	blocks        map[uint64]*block
	idle          *list.List // of *block with refs == 0, least recently used first
	blockTokens   core.Tokens
	maxIdleBlocks int
	evicted       []uint64 // hashes of evicted blocks that no Removed event has reported yet
}

type block struct {
	hash        uint64
	refs        int
	idleElement *list.Element
}

func newCache(cfg Config) *cache {
	return &cache{
		blocks: map[uint64]*block{}, idle: list.New(), blockTokens: cfg.BlockTokens,
		maxIdleBlocks: int(max(cfg.CacheTokens, 0) / cfg.BlockTokens),
	}
}

func (c *cache) pinnedTokens() core.Tokens {
	return core.Tokens(len(c.blocks)-c.idle.Len()) * c.blockTokens
}

func (c *cache) idleTokens() core.Tokens { return core.Tokens(c.idle.Len()) * c.blockTokens }

// matchPrefix returns how many leading blocks of a prompt are cached, and how many of these are idle.
func (c *cache) matchPrefix(prefixes []uint64) (found, idle int) {
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

// pin takes a reference on a block, adding the block if it is missing, and reports whether it was added.
func (c *cache) pin(hash uint64) (added bool) {
	b := c.blocks[hash]
	if b == nil {
		b = &block{hash: hash}
		c.blocks[hash] = b
		added = true
	}
	if b.idleElement != nil {
		c.idle.Remove(b.idleElement)
		b.idleElement = nil
	}
	b.refs++
	return added
}

// unpin drops one reference on each block, the last block first, so that a prefix is evicted from its end.
func (c *cache) unpin(prefixes []uint64) {
	for i := len(prefixes) - 1; i >= 0; i-- {
		b := c.blocks[prefixes[i]]
		if b.refs--; b.refs == 0 {
			b.idleElement = c.idle.PushBack(b)
		}
	}
	for c.idle.Len() > c.maxIdleBlocks {
		c.evict()
	}
}

func (c *cache) evict() {
	b := c.idle.Remove(c.idle.Front()).(*block)
	delete(c.blocks, b.hash)
	c.evicted = append(c.evicted, b.hash)
}
