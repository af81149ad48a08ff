// Package crash is a model engine in a process of its own that crashes on one part of prompts, for tests of how a fleet finds
// such parts. Package edges runs it together with instances.
package crash
