package queue

import (
	"math"
	"time"
)

// rateWindow is the time constant over which starts are averaged: long enough for several starts of long calls, short
// enough to follow the onset of a flood.
const rateWindow = 5 * time.Second

// minRateStarts is the number of averaged starts below which the rate is unreliable.
const minRateStarts = 3

// maxExpectedWait is the upper bound of estimated waits.
const maxExpectedWait = time.Hour

// startRate measures how fast waiting calls of a rank start, as an exponential moving average. Only time in which calls
// wait and an endpoint accepts calls counts.
type startRate struct {
	starts    float64
	seconds   float64
	updatedAt time.Time
	active    bool
}

// setActive sets whether time counts from now on.
func (r *startRate) setActive(now time.Time, active bool) {
	if active == r.active {
		return
	}
	r.advance(now)
	r.updatedAt, r.active = now, active
}

// advance decays the averages and adds the time since the last update.
func (r *startRate) advance(now time.Time) {
	if !r.active || !now.After(r.updatedAt) {
		return
	}
	d := now.Sub(r.updatedAt).Seconds()
	keep := math.Exp(-d / rateWindow.Seconds())
	r.starts *= keep
	r.seconds = r.seconds*keep + d
	r.updatedAt = now
}

// recordStart counts a call that had waited.
func (r *startRate) recordStart(now time.Time) {
	r.advance(now)
	r.starts++
}

// expectedTime returns the expected time until n calls have started, 0 when the rate is unknown.
func (r *startRate) expectedTime(now time.Time, n int) time.Duration {
	r.advance(now)
	starts := r.starts
	if starts < minRateStarts {
		if r.seconds < rateWindow.Seconds()/2 {
			return 0
		}
		starts = max(starts, 1)
	}
	return min(time.Duration(float64(n)*r.seconds/starts*float64(time.Second)), maxExpectedWait)
}

// decayHalfLife is the half-life of a decayingMax; it is short enough that a peak is forgotten within a minute.
const decayHalfLife = 10 * time.Second

// decayingMax is the maximum of recent durations; it decays with time.
type decayingMax struct {
	value     float64
	updatedAt time.Time
}

// valueAt returns the decayed maximum.
func (m *decayingMax) valueAt(now time.Time) time.Duration {
	if m.updatedAt.IsZero() {
		return 0
	}
	return time.Duration(m.value * math.Exp2(-float64(now.Sub(m.updatedAt))/float64(decayHalfLife)))
}

// record records a value, which becomes the maximum if it is not below the decayed one.
func (m *decayingMax) record(now time.Time, d time.Duration) {
	if d >= m.valueAt(now) {
		m.value, m.updatedAt = float64(d), now
	}
}
