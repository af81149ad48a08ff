// Package reply writes error responses to clients as JSON with the kind of the error, a remedy and whether the request was run.
package reply
