// Package drain shuts an HTTP server down gracefully: each request that a client has already sent is answered.
package drain
