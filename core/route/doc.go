// Package route finds the route of a call by host and path, and its team by API key.
package route
