package objs

import "time"

// tokenBucket is a rate limiter with a burst of one second's calls; a rate of 0 means no limit.
type tokenBucket struct {
	perSecond float64
	tokens    float64
	last      time.Time
}

// allow reports whether a call is within the rate, and takes a token if so.
func (r *tokenBucket) allow(now time.Time) bool {
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
