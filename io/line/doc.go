// Package line reads and writes streams of JSON lines. Plain tokens, which are nearly all lines, are handled without
// reflection.
package line
