// Package engine is the client of a model runner.
package engine
