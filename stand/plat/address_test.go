package plat_test

import (
	"testing"

	"github.com/matryer/is"

	"snipeshed/stand/plat"
)

// TestAddressesDiffer guards against instances that cannot listen because two addresses of their settings, each free when it was
// looked up, are the same.
func TestAddressesDiffer(t *testing.T) {
	is := is.New(t)
	seen := map[string]bool{}
	for range 1000 {
		address := plat.UnusedAddress()
		is.True(!seen[address])
		seen[address] = true
	}
}
