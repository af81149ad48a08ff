// Package admit is the admission control of a pool: it forecasts the peak memory of endpoints and chooses the endpoint
// for each call.
package admit
