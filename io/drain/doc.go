// Package drain shuts a server down without leaving a request unanswered that a client has already sent.
package drain
