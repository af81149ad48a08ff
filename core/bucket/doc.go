// Package bucket keeps the polls of one instance within a number of bytes per second.
package bucket
