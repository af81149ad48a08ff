package entry

import (
	"sync"
	"time"

	"snipeshed/core"
)

// loads remembers the load that each pool's owner last told.
type loads struct {
	mu   sync.Mutex
	seen map[core.PoolID]seenLoad
}

type seenLoad struct {
	load core.PoolLoad
	at   time.Time
}

// loadAge is how long a pool's load is believed; it also bounds how long an entry refuses on its own.
const loadAge = time.Second

func (l *loads) put(p core.PoolID, load core.PoolLoad, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seen[p] = seenLoad{load: load, at: now}
}

// rank returns a pool's load for a rank, or false when it is not known or too old.
func (l *loads) rank(p core.PoolID, rank core.RankName, now time.Time) (core.RankLoad, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.seen[p]
	if !ok || now.Sub(s.at) > loadAge {
		return core.RankLoad{}, false
	}
	for _, r := range s.load.Ranks {
		if r.Rank == rank {
			return r, true
		}
	}
	return core.RankLoad{}, false
}
