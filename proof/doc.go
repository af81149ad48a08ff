// Package proof holds the tests of the invariants of docs/design.md, end to end and under failures; docs/proofs.md lists them.
package proof
