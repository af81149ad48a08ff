// Package budget limits retries to a share of the calls.
package budget
