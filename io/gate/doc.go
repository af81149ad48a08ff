// Package gate answers callers: it finds the route and the endpoint of each call, sends it there, and relays the answer.
package gate
