// Package watch reads the configuration and the endpoint list from the store: once at start, and continuously while
// this instance is one of the few that do so for all.
package watch
