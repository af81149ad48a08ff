// Package examples contains one example ticket for each of the two users, for the demo and the tests.
package examples
