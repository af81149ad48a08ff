package core

import "time"

// Clock tells the time.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
}

// SystemClock is the machine's clock.
type SystemClock struct{}

// Now returns the machine's time.
func (SystemClock) Now() time.Time { return time.Now() }

// Later returns the later of two times.
func Later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
