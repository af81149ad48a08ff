// Package link is a TCP forwarder that injects network faults in tests.
package link
