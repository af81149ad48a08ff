package blame

import (
	"slices"
	"time"

	"snipeshed/core"
)

const (
	// pendingSpan is how long a lost request waits for the news that its engine's process has ended. Entries of silent processes
	// are removed after a few seconds, and processes that are started again write theirs about as soon.
	pendingSpan = 15 * time.Second
	maxPending  = 64 // engine processes
	// silentSpan is the time without an event after which requests that are sent to an engine are not what ended it: it sends the
	// events of other answers more often. Where its host falls silent, requests are sent to it until that is noticed.
	silentSpan = 500 * time.Millisecond
)

// pendingLosses holds lost requests of engines that may still run, and the engines that have ended lately.
type pendingLosses struct {
	lost  map[core.Incarnation]*pendingLoss
	ended map[core.Incarnation]ending
}

// pendingLoss holds the lost requests of one engine process.
type pendingLoss struct {
	crash
	ending
}

// ending is what is known of the end of an engine process.
type ending struct {
	noticedAt time.Time // when the first loss was noticed
	eventAt   time.Time // when the process sent the last event of a lost answer; zero if it sent none
}

// endedAt returns the time of the end.
func (e ending) endedAt() time.Time {
	if e.eventAt.IsZero() {
		return e.noticedAt
	}
	return e.eventAt
}

// mayBeCausedBy reports whether the process may have ended because of a lost request: one that was sent when the process had been
// silent for a while came too late.
func (e ending) mayBeCausedBy(l core.Loss) bool {
	return e.eventAt.IsZero() || l.SentAt.Sub(e.eventAt) <= silentSpan
}

func newPendingLosses() pendingLosses {
	return pendingLosses{lost: map[core.Incarnation]*pendingLoss{}, ended: map[core.Incarnation]ending{}}
}

// add adds a loss, unless the engine is known to have ended: it then returns the time of that.
func (p *pendingLosses) add(now time.Time, e core.Endpoint, l core.Loss) (end ending, ended bool) {
	inc := e.Incarnation()
	if end, ok := p.ended[inc]; ok {
		return end, true
	}
	c := p.lost[inc]
	if c == nil {
		if len(p.lost) >= maxPending {
			return ending{}, false
		}
		c = &pendingLoss{crash: crash{crashInfo: crashInfo{engine: inc, host: e.Address, at: now, usedAt: now}}, ending: ending{noticedAt: now}}
		p.lost[inc] = c
	}
	c.add(l)
	c.eventAt = core.Later(c.eventAt, l.EventAt)
	return ending{}, false
}

// end records that an engine's process has ended, and returns those of its losses that may have caused it.
func (p *pendingLosses) end(now time.Time, inc core.Incarnation) (crashInfo, []core.Loss) {
	c := p.lost[inc]
	delete(p.lost, inc)
	if c == nil {
		c = &pendingLoss{crash: crash{crashInfo: crashInfo{engine: inc, at: now, usedAt: now}}, ending: ending{noticedAt: now}}
	}
	if _, known := p.ended[inc]; !known && len(p.ended) < maxPending {
		p.ended[inc] = c.ending
	}
	info := c.crashInfo
	info.at = c.endedAt()
	return info, slices.DeleteFunc(c.losses, func(l core.Loss) bool { return !c.mayBeCausedBy(l) })
}

// expire removes what is older than pendingSpan.
func (p *pendingLosses) expire(now time.Time) {
	for inc, c := range p.lost {
		if now.Sub(c.noticedAt) > pendingSpan {
			delete(p.lost, inc)
		}
	}
	for inc, end := range p.ended {
		if now.Sub(end.noticedAt) > pendingSpan {
			delete(p.ended, inc)
		}
	}
}
