// Package ring decides which instances of a large fleet watch each other for silence, and when one of them counts as lost.
package ring
