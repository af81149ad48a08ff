package place

import "time"

const (
	// windowPerCall is several times the delay until the other instances receive the report of a call.
	windowPerCall = 15 * time.Millisecond
	minWindow     = 30 * time.Millisecond
	maxWindow     = 300 * time.Millisecond
)

// JitterWindow returns the time over which long calls spread their retries when capacity becomes free; waiting is the
// number of such calls that wait at any instance.
//
// Each call retries placement at a random time in the window, so that almost every call already sees the load reports of
// the calls placed before it.
func JitterWindow(waiting int) time.Duration {
	return min(max(minWindow, time.Duration(waiting)*windowPerCall), maxWindow)
}
