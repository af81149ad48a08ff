// Package tally tracks the load in flight at each endpoint: this instance's own calls plus the loads that its peers report.
package tally
