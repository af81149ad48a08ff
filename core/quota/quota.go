package quota

import (
	"sync"

	"snipeshed/core"
)

// reservePercent is the share of the limit that each rank leaves free for each rank above it; the queues of pools
// reserve the same share of an engine's memory.
const (
	reservePercent = 8
	percent        = 100
)

// Quota divides a limit of units among teams and ranks; it is safe for concurrent use.
//
// A holder may have as much as is free, times its weight. One busy team gets half of the limit, n busy teams get an
// (n+1)th each, and a newcomer finds room while there are
// fewer busy teams than units; nobody keeps count of the teams. This is the dynamic threshold of
// Choudhury and Hahne ("Dynamic queue length thresholds for shared-memory packet switches", 1998) with factor 1.
type Quota struct {
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

// New returns a Quota with a limit of units.
func New(limit int64) *Quota { return &Quota{limit: limit, held: map[Holder]int64{}} }

// Acquire takes n units and reports whether the holder may have them; above is the number of ranks that are more urgent
// than the holder's.
func (q *Quota) Acquire(h Holder, n, weight int64, above int) bool {
	if n == 0 {
		return true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	free := q.limit - q.limit*reservePercent*int64(above)/percent - q.used
	if n > free || q.held[h]+n > max(weight, 1)*free {
		return false
	}
	q.add(h, n)
	return true
}

// Add takes n units for work that must not be refused.
func (q *Quota) Add(h Holder, n int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.add(h, n)
}

func (q *Quota) add(h Holder, n int64) {
	q.used += n
	q.held[h] += n
}

// Release returns n units.
func (q *Quota) Release(h Holder, n int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.used -= n
	if q.held[h] -= n; q.held[h] == 0 {
		delete(q.held, h)
	}
}

// Used returns the units that are taken.
func (q *Quota) Used() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.used
}
