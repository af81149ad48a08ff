// Package engine is the HTTP client for a model runner.
package engine
