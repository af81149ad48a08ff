// Package watch reads the configuration and the endpoint list from the store: once at start, and continuously while this
// instance is one of the few that watch the store on behalf of all.
package watch
