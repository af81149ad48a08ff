package place

import "time"

const (
	// tellTime is some times as long as it takes until the other instances have heard of a call.
	tellTime       = 15 * time.Millisecond
	shortestSettle = 30 * time.Millisecond
	longestSettle  = 300 * time.Millisecond
)

// Settle returns the time over which the long calls that wait at all instances spread when room appears, each at a random
// moment, so that nearly all hear where those before them went.
func Settle(waiting int) time.Duration {
	return min(max(shortestSettle, time.Duration(waiting)*tellTime), longestSettle)
}
