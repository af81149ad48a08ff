// Package edge assembles and runs one edge instance, which accepts the callers' requests.
package edge
