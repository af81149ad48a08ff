// Package procs starts stand-ins and instances of snipeshed as separate processes on loopback and ends them by their ids.
package procs
