package shard_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"snipeshed/core"
	"snipeshed/core/shard"
	"snipeshed/wire"
)

// TestMain fixes the random seed, so that CI results are reproducible.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204") // the flag exists
	os.Exit(m.Run())
}

func config(n int, regions []string) *core.Config {
	cfg := &core.Config{Endpoints: map[core.EndpointID]*wire.Endpoint{
		"app": {Service: "booking"},
	}}
	for i := range n {
		id := core.EndpointID(fmt.Sprintf("e%d", i))
		cfg.Endpoints[id] = &wire.Endpoint{Region: regions[i%len(regions)], Wanted: &wire.Wanted{Model: fmt.Sprintf("m%d", i%2)}}
	}
	return cfg
}

// Guards against an endpoint in no pool, which gets no calls, one in two pools, which gets twice its share, and a pool that
// spans regions, a part of which a network partition would cut off.
func TestEveryEndpointIsInOnePool(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 80).Draw(t, "endpoints")
		size := rapid.IntRange(1, 20).Draw(t, "size")
		cfg := config(n, []string{"", "north", "south"}[:rapid.IntRange(1, 3).Draw(t, "regions")])
		part := shard.New(cfg, size)
		seen := map[core.EndpointID]bool{}
		for _, p := range part.AllPools() {
			for _, id := range part.Endpoints(p) {
				ep := cfg.Endpoints[id]
				if seen[id] || core.ModelName(ep.GetWanted().GetModel()) != part.Model(p) || ep.GetRegion() != part.Region(p) {
					t.Fatalf("endpoint %s is in the wrong pool %s", id, p)
				}
				seen[id] = true
			}
			if !slices.Contains(part.Pools(part.Model(p)), p) {
				t.Fatalf("pool %s is not among the pools of its model", p)
			}
		}
		if len(seen) != n {
			t.Fatalf("%d of %d endpoints are in pools", len(seen), n)
		}
	})
}

// Guards against a new pool that moves endpoints between existing pools, whose owners already hold their state.
func TestNewPoolMovesOnlyItsOwn(t *testing.T) {
	is := is.New(t)
	small, large := shard.New(config(64, []string{""}), 16), shard.New(config(66, []string{""}), 16)
	is.Equal(len(small.AllPools()), 4)
	is.Equal(len(large.AllPools()), 6)
	for _, p := range small.AllPools() {
		for _, id := range large.Endpoints(p) {
			is.True(slices.Contains(small.Endpoints(p), id) || id == "e64" || id == "e65")
		}
	}
}
