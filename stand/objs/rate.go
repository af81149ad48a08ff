package objs

import "time"

// rate is a token bucket that holds at most the calls of one second.
type rate struct {
	perSecond float64
	tokens    float64
	last      time.Time
}

// take reports whether a call is within the rate.
func (r *rate) take(now time.Time) bool {
	if r.perSecond <= 0 {
		return true
	}
	if r.last.IsZero() {
		r.tokens = r.perSecond
	} else {
		r.tokens = min(r.perSecond, r.tokens+now.Sub(r.last).Seconds()*r.perSecond)
	}
	r.last = now
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}
