package pulse

import (
	"time"

	"snipeshed/io/event"
)

// pauseThreshold is the delay of a timer above which this instance itself was paused and has not read what others sent.
const pauseThreshold = 500 * time.Millisecond

// forgivePause detects that this instance was paused, as it runs long after the timer of the sender was due. The others then
// count as heard from for that much longer: they were not silent, it did not listen. It returns when the timer is due.
func (p *Pulse) forgivePause(now, due time.Time) time.Time {
	pause := now.Sub(due)
	if pause < pauseThreshold {
		return due
	}
	p.extend(pause)
	p.ring.Extend(pause)
	p.loads.ExtendReports(pause)
	p.log.Emit(event.Paused, event.Fields{"paused_ms": pause.Milliseconds()})
	return now
}
