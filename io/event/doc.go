// Package event writes one structured log line per decision without ever blocking the decision.
package event
