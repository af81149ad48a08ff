// Package host serves the calls of the pools that this instance owns.
package host
