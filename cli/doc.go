// Package cli holds the commands of the snipeshed binary.
package cli
