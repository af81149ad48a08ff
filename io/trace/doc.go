// Package trace gathers the log lines of one request over all instances.
package trace
