// Package admit forecasts the peak memory of endpoints and chooses the endpoint of a call.
package admit
