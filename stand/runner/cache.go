package runner

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"snipeshed/stand/batch"
	"snipeshed/stand/host"
)

// CacheEvent reports that prefix blocks were added to the prefix cache or evicted from it.
type CacheEvent struct {
	Number int64 `json:"n"`
	// Op is "stored" or "removed".
	Op string `json:"op"`
	// Blocks are the prefix hashes of the blocks in hex.
	Blocks []string `json:"blocks"`
}

// CacheEvents is the response with the events after a given number; a gap in the numbers means that events are missing.
type CacheEvents struct {
	// Last is the highest number of the published events.
	Last   int64        `json:"last"`
	Events []CacheEvent `json:"events"`
}

// cacheLog publishes cache events after a delay and drops some, as a real engine does.
type cacheLog struct {
	lag        time.Duration
	dropEvery  int
	lastNumber int64
	events     []datedEvent
}

type datedEvent struct {
	CacheEvent
	at time.Time
}

// maxCacheEvents limits the length of the log; clients that read later see a gap.
const maxCacheEvents = 10_000

func (l *cacheLog) add(now time.Time, e batch.Event) {
	l.lastNumber++
	if l.dropEvery > 0 && l.lastNumber%int64(l.dropEvery) == 0 {
		return
	}
	d := datedEvent{CacheEvent{Number: l.lastNumber, Op: "stored"}, now}
	if e.Kind == batch.Removed {
		d.Op = "removed"
	}
	for _, h := range e.Blocks {
		d.Blocks = append(d.Blocks, fmt.Sprintf("%016x", h))
	}
	l.events = append(l.events, d)
	if len(l.events) > maxCacheEvents {
		l.events = l.events[1:]
	}
}

func (l *cacheLog) eventsAfter(now time.Time, n int64) CacheEvents {
	out := CacheEvents{Events: []CacheEvent{}}
	for _, e := range l.events {
		if e.at.After(now.Add(-l.lag)) {
			break
		}
		out.Last = e.Number
		if e.Number > n {
			out.Events = append(out.Events, e.CacheEvent)
		}
	}
	return out
}

func (r *Runner) handleCacheEvents(w http.ResponseWriter, hr *http.Request) {
	n, err := strconv.ParseInt("0"+hr.URL.Query().Get("after"), 10, 64)
	if err != nil {
		host.WriteError(w, http.StatusBadRequest, "query parameter after is not an event number")
		return
	}
	r.mu.Lock()
	out := r.cacheLog.eventsAfter(time.Now(), n)
	r.mu.Unlock()
	host.WriteJSON(w, http.StatusOK, out)
}
