// Package daemon assembles the components of one instance, runs it and shuts it down.
package daemon
