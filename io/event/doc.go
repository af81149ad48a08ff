// Package event writes one structured log line per event, without blocking the code that reports the event.
package event
