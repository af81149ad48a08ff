// Package plat simulates the users' platform, on which the snipeshed edge command runs, for tests: its object store and its
// engines, with the platform's HTTP protocol. Package objs simulates the platform of the snipeshed serve command.
package plat
