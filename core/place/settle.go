package place

import "time"

const (
	// spreadPerCall is several times the delay until the other instances receive the report of a call.
	spreadPerCall = 15 * time.Millisecond
	minSpread     = 30 * time.Millisecond
	maxSpread     = 300 * time.Millisecond
)

// JitterWindow returns the time over which long calls that wait at any instance spread their retries when capacity
// becomes free.
//
// Each call retries placement at a random time in the window, so that almost every call already sees the load reports of
// the calls placed before it.
func JitterWindow(waiting int) time.Duration {
	return min(max(minSpread, time.Duration(waiting)*spreadPerCall), maxSpread)
}
