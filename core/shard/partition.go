package shard

import (
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"snipeshed/core"
)

// Partition is an immutable division of one configuration's model runners into pools.
type Partition struct {
	pools     map[core.ModelName][]core.PoolID
	endpoints map[core.PoolID][]core.EndpointID
	groups    map[core.PoolID]group
}

// group identifies the endpoints that may share pools.
type group struct {
	model  core.ModelName
	region string
}

// New divides the endpoints of each model and region into pools of about size endpoints.
//
// An endpoint is assigned to a pool by rendezvous hashing, so that adding a pool moves only
// the endpoints that are assigned to it. A pool does not span regions, because a network
// partition between regions would cut its owner off from a part of the pool.
func New(cfg *core.Config, size int) *Partition {
	part := &Partition{
		pools:     map[core.ModelName][]core.PoolID{},
		endpoints: map[core.PoolID][]core.EndpointID{},
		groups:    map[core.PoolID]group{},
	}
	groups := map[group][]core.EndpointID{}
	for id, ep := range cfg.Endpoints {
		if m := core.ModelName(ep.GetWanted().GetModel()); m != "" {
			g := group{model: m, region: ep.GetRegion()}
			groups[g] = append(groups[g], id)
		}
	}
	for g, ids := range groups {
		part.addGroup(g, ids, size)
	}
	for _, pools := range part.pools {
		slices.Sort(pools)
	}
	return part
}

func (part *Partition) addGroup(g group, ids []core.EndpointID, size int) {
	slices.Sort(ids)
	var pools []core.PoolID
	for i := range (len(ids) + size - 1) / size {
		p := g.poolID(i)
		pools = append(pools, p)
		part.groups[p] = g
	}
	for _, id := range ids {
		p := bestPool(pools, id)
		part.endpoints[p] = append(part.endpoints[p], id)
	}
	part.pools[g.model] = append(part.pools[g.model], pools...)
}

func (g group) poolID(i int) core.PoolID {
	if g.region == "" {
		return core.PoolID(fmt.Sprintf("%s/%d", g.model, i))
	}
	return core.PoolID(fmt.Sprintf("%s@%s/%d", g.model, g.region, i)) // model names contain no @
}

// Pools returns the pools of a model.
func (part *Partition) Pools(m core.ModelName) []core.PoolID { return part.pools[m] }

// Endpoints returns the endpoints of a pool, sorted by name.
func (part *Partition) Endpoints(p core.PoolID) []core.EndpointID { return part.endpoints[p] }

// Model returns the model of a pool, or "" for an unknown pool.
func (part *Partition) Model(p core.PoolID) core.ModelName { return part.groups[p].model }

// Region returns the region of a pool's endpoints, or "" if none is configured.
func (part *Partition) Region(p core.PoolID) string { return part.groups[p].region }

// AllPools returns every pool, sorted by name.
func (part *Partition) AllPools() []core.PoolID { return slices.Sorted(maps.Keys(part.groups)) }

// bestPool returns the pool with the highest rendezvous hashing score for an endpoint.
func bestPool(pools []core.PoolID, id core.EndpointID) core.PoolID {
	var best core.PoolID
	var bestScore uint64
	for _, p := range pools {
		if h := xxhash.Sum64String(string(p) + "\x00" + string(id)); best == "" || h > bestScore {
			best, bestScore = p, h
		}
	}
	return best
}
