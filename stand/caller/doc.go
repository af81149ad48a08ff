// Package caller is a client that sends requests to an instance and verifies the answers.
package caller
