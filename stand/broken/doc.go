// Package broken simulates servers in trouble, for tests of all that reads answers: the heads of their HTTP/1.1 answers are
// malformed, or they break off answers while the request is still being written.
package broken
