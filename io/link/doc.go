// Package link creates the HTTP clients and servers of an instance, with timeouts, pings and byte counters.
package link
