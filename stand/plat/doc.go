// Package plat stands in for the users' platform in tests: its object store and its engines, by the published protocol.
package plat
