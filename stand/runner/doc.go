// Package runner is a test double of a model runner. It serves the runners' HTTP protocol on top of a simulated engine.
//
// A prompt may contain directives in brackets: [output=120] sets the number of
// output tokens, which otherwise follows from the request's seed, and [mark=abc]
// is copied into the text of every token. The text of a token identifies its
// generation, request and index, so that a client can detect tokens that were
// lost, repeated or delivered to the wrong request.
package runner
