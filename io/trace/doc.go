// Package trace collects the log lines of one request from the logs of all instances.
package trace
