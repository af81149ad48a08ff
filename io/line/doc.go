// Package line reads streams of JSON lines; lines of plain tokens, which are nearly all, are read and written without reflection.
package line
