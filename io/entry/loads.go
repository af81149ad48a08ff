package entry

import (
	"sync"
	"time"

	"snipeshed/core"
)

// loadCache holds the latest load of each pool as its owner reported it.
type loadCache struct {
	mu     sync.Mutex
	byPool map[core.PoolID]receivedLoad
}

type receivedLoad struct {
	load core.PoolLoad
	at   time.Time
}

// maxLoadAge is how long a reported load is used; it also bounds how long an entry refuses calls without asking the owner.
const maxLoadAge = time.Second

func (l *loadCache) put(p core.PoolID, load core.PoolLoad, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byPool[p] = receivedLoad{load: load, at: now}
}

// rankLoad returns a pool's load for a rank, or false if it is unknown or too old.
func (l *loadCache) rankLoad(p core.PoolID, rank core.RankName, now time.Time) (core.RankLoad, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.byPool[p]
	if !ok || now.Sub(s.at) > maxLoadAge {
		return core.RankLoad{}, false
	}
	for _, r := range s.load.Ranks {
		if r.Rank == rank {
			return r, true
		}
	}
	return core.RankLoad{}, false
}
