// Package probe polls engines for whether they are leaving, for times when the store, the usual source of that notice, is
// down.
package probe
