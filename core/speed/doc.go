// Package speed estimates the relative speed and the useful concurrency of the endpoints of a service from the timings of recent calls.
package speed
