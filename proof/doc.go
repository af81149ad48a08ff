// Package proof holds the end-to-end tests of the invariants of docs/design.md, with and without failures; docs/proofs.md lists them.
package proof
