package place

import (
	"time"

	"snipeshed/core"
)

const (
	// windowPerCall is several times the delay until the other instances receive the report of a call.
	windowPerCall = 15 * time.Millisecond
	// windowPerInstance is added for each instance of a large fleet, as the report is sent to one after another.
	windowPerInstance = 250 * time.Microsecond
	// minWindowCalls and maxWindowCalls bound the number of calls for which the window is made.
	minWindowCalls = 2
	maxWindowCalls = 20
)

// JitterWindow returns the time over which long calls spread their retries when capacity becomes free; waiting is the
// number of such calls that wait at any of the instances.
//
// Each call retries placement at a random time in the window, so that almost every call already sees the load reports of
// the calls placed before it.
func JitterWindow(waiting, instances int) time.Duration {
	perCall := windowPerCall
	if instances >= core.LargeFleetInstances {
		perCall += time.Duration(instances) * windowPerInstance
	}
	return time.Duration(min(max(waiting, minWindowCalls), maxWindowCalls)) * perCall
}
