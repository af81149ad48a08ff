// Package daemon assembles the parts of one instance, runs it and shuts it down.
package daemon
