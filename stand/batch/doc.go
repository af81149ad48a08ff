// Package batch simulates a model engine with continuous batching, without sockets, goroutines or a clock of its own.
//
// Each step decodes one token of every running sequence and computes part of
// the waiting prompts. KV memory is shared by sequences and the prefix cache; a
// step that runs out of it preempts the least urgent sequence, which is later
// recomputed and goes on from its next token. The same calls at the same times
// always give the same events.
package batch
