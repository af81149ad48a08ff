// Command stand runs the scripted cases of the second review: it starts instances of the deploy file's program and model runners as
// processes, simulates callers and the store, and checks what these have seen.
package main
