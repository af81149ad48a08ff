// Package route finds the route and the team of a call.
package route
