// Package probe polls engines for whether they are leaving while the store, the usual source of that notice, is down.
package probe
