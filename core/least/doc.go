// Package least is a baseline policy: the endpoint with the least load by its last, lagged report.
package least
