// Package caller is a test client that sends requests to instances and checks the answers.
package caller
