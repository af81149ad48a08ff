// Package tally counts what is in flight at each endpoint: this instance's own calls and those that others report.
package tally
