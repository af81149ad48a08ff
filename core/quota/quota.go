package quota

import (
	"sync"

	"snipeshed/core"
)

const (
	// rankReservePercent is the part of the limit that a rank leaves free for each rank above it; the queues of pools
	// reserve the same part of an engine's memory.
	rankReservePercent = 8
	percent            = 100
)

// Quota divides a limit of units among teams and ranks; it is safe for concurrent use.
//
// A holder may have at most its weight times the free units. One busy team gets half of the limit, n busy teams get
// 1/(n+1) each, and a team without units can acquire some while there are fewer busy teams than units; the number of
// teams need not be known. This is the dynamic threshold algorithm of Choudhury and Hahne ("Dynamic queue length
// thresholds for shared-memory packet switches", 1998) with factor 1.
type Quota struct {
	limit int64

	mu   sync.Mutex
	used int64
	held map[Holder]int64
}

// Holder identifies the requests of one team with one rank; units are counted per Holder.
type Holder struct {
	Team core.TeamName
	Rank core.RankName
}

// New returns a Quota with a limit of units.
func New(limit int64) *Quota { return &Quota{limit: limit, held: map[Holder]int64{}} }

// Acquire takes n units if the holder may have them and reports whether it did; above is the number of ranks that are
// more urgent than the holder's.
func (q *Quota) Acquire(h Holder, n, weight int64, above int) bool {
	if n == 0 {
		return true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	free := q.limit - q.limit*rankReservePercent*int64(above)/percent - q.used
	if n > free || q.held[h]+n > max(weight, 1)*free {
		return false
	}
	q.add(h, n)
	return true
}

// AcquireForced takes n units without checking the limit, for requests that must not be rejected.
func (q *Quota) AcquireForced(h Holder, n int64) {
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

// Used returns the number of units in use.
func (q *Quota) Used() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.used
}
