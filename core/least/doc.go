// Package least is a baseline policy: it sends each call to the endpoint with the least load according to the endpoints'
// last reports, which lag.
package least
