// Package reply writes errors to clients as JSON with a typed kind, a remedy and whether the request was run.
package reply
