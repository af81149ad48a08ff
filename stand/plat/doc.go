// Package plat simulates the users' platform for tests: its object store and its engines, with the platform's HTTP protocol.
package plat
