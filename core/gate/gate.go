package gate

import (
	"sync"

	"snipeshed/core"
)

// reservePercent is the share of the limit that each rank leaves free for each rank above it; the queues of pools
// reserve the same share of an engine's memory.
const reservePercent = 8

// Gate divides a limit of units among teams and ranks.
//
// A holder may have as much as is free, times its weight. One busy team gets half of the limit, n busy teams get an
// (n+1)th each, and a newcomer always finds room; nobody keeps count of the teams. This is the dynamic threshold of
// Choudhury and Hahne ("Dynamic queue length thresholds for shared-memory packet switches", 1998) with factor 1.
type Gate struct {
	limit int64

	mu   sync.Mutex
	used int64
	held map[Holder]int64
}

// Holder is a team's work of one rank.
type Holder struct {
	Team core.TeamName
	Rank core.RankName
}

// New returns a Gate with a limit of units.
func New(limit int64) *Gate { return &Gate{limit: limit, held: map[Holder]int64{}} }

// Enter takes n units and reports whether the holder may have them; above is the number of ranks that are more urgent
// than the holder's.
func (g *Gate) Enter(h Holder, n, weight int64, above int) bool {
	if n == 0 {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	free := g.limit - g.limit*reservePercent*int64(above)/100 - g.used
	if n > free || g.held[h]+n > max(weight, 1)*free {
		return false
	}
	g.add(h, n)
	return true
}

// Add takes n units for work that must not be refused.
func (g *Gate) Add(h Holder, n int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.add(h, n)
}

func (g *Gate) add(h Holder, n int64) {
	g.used += n
	g.held[h] += n
}

// Leave returns n units.
func (g *Gate) Leave(h Holder, n int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.used -= n
	if g.held[h] -= n; g.held[h] == 0 {
		delete(g.held, h)
	}
}

// Used returns the units that are taken.
func (g *Gate) Used() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.used
}
