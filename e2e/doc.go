// Package e2e holds the tests of the invariants of docs/design.md, end to end and under failures; docs/proofs.md lists them.
package e2e
