// Package batch simulates an inference engine with continuous batching. It is
// driven by its caller: it opens no sockets, starts no goroutines and reads no clock.
//
// Each step decodes one token of every running sequence and prefills part of
// the pending prompts. Sequences and the prefix cache share the KV memory. A
// step that runs out of memory preempts the running sequence with the lowest
// priority, which is recomputed later and continues at its next token. The
// simulation is deterministic: the same calls at the same times give the same
// events.
package batch
