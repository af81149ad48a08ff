// Package plat simulates the users' platform in tests, its object store and its engines, by the platform's protocol.
package plat
