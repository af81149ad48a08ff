// Package runner is a stand-in of a model runner: the published HTTP protocol on top of a simulated engine.
//
// A prompt may hold directives in brackets: [output=120] sets the number of
// output tokens, which otherwise follows from the seed, and [mark=abc] is copied
// into the text of every token. Token texts name their generation, request and
// index, so that a reader can detect tokens that were lost, doubled or swapped.
package runner
