// Package budget limits retries to a percentage of the calls.
package budget
