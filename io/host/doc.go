// Package host runs calls on the pools that this instance owns.
package host
