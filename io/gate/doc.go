// Package gate is the HTTP reverse proxy of an instance: it finds the route of each call, chooses an endpoint, forwards the
// call, and relays the response.
package gate
