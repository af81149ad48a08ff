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
