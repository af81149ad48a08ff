// Package link makes the HTTP clients and servers between instances and towards endpoints, with timeouts, pings and byte counts.
package link
