// Package procs starts instances and a simulated platform as separate processes on loopback, for tests that signal processes.
package procs
