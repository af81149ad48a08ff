package queue

import (
	"math"
	"time"
)

// rateWindow is the backlogged time over which starts are averaged; long enough for several starts
// of long calls, short enough to follow the onset of a flood.
const rateWindow = 5 * time.Second

// minStarts is the number of averaged starts below which the rate counts as unknown.
const minStarts = 3

// maxWait stands for waits that are too long to estimate.
const maxWait = time.Hour

// rate measures how fast calls of a rank start while some wait and an endpoint accepts calls; other times say nothing
// about it.
type rate struct {
	starts  float64
	seconds float64
	at      time.Time
	active  bool
}

// run lets the time count, or not, from now on.
func (r *rate) run(now time.Time, active bool) {
	if active == r.active {
		return
	}
	r.advance(now)
	r.at, r.active = now, active
}

func (r *rate) advance(now time.Time) {
	if !r.active || !now.After(r.at) {
		return
	}
	d := now.Sub(r.at).Seconds()
	keep := math.Exp(-d / rateWindow.Seconds())
	r.starts *= keep
	r.seconds = r.seconds*keep + d
	r.at = now
}

// start counts a call that had waited.
func (r *rate) start(now time.Time) {
	r.advance(now)
	r.starts++
}

// timeFor returns the expected time until n calls have started, 0 when nothing is known.
func (r *rate) timeFor(now time.Time, n int) time.Duration {
	r.advance(now)
	starts := r.starts
	if starts < minStarts {
		if r.seconds < rateWindow.Seconds()/2 {
			return 0
		}
		starts = max(starts, 1)
	}
	return min(time.Duration(float64(n)*r.seconds/starts*float64(time.Second)), maxWait)
}

// peakHalfLife lets a peak be forgotten within a minute.
const peakHalfLife = 10 * time.Second

// peak is a decaying maximum.
type peak struct {
	value float64
	at    time.Time
}

func (p *peak) get(now time.Time) time.Duration {
	if p.at.IsZero() {
		return 0
	}
	return time.Duration(p.value * math.Exp2(-float64(now.Sub(p.at))/float64(peakHalfLife)))
}

func (p *peak) add(now time.Time, d time.Duration) {
	if d >= p.get(now) {
		p.value, p.at = float64(d), now
	}
}
