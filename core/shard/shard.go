package shard

import (
	"fmt"
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"snipeshed/core"
)

// Shard is the division of one configuration's model runners into pools; it is never changed once made.
type Shard struct {
	pools     map[core.ModelName][]core.PoolID
	endpoints map[core.PoolID][]core.EndpointID
	models    map[core.PoolID]core.ModelName
}

// New divides the endpoints of each model into pools of about size endpoints.
//
// An endpoint goes to a pool by rendezvous hash, so that adding a pool moves
// only the endpoints that the new pool gets.
func New(cfg *core.Config, size int) *Shard {
	s := &Shard{
		pools:     map[core.ModelName][]core.PoolID{},
		endpoints: map[core.PoolID][]core.EndpointID{},
		models:    map[core.PoolID]core.ModelName{},
	}
	byModel := map[core.ModelName][]core.EndpointID{}
	for id, ep := range cfg.Endpoints {
		if m := core.ModelName(ep.GetWanted().GetModel()); m != "" {
			byModel[m] = append(byModel[m], id)
		}
	}
	for m, ids := range byModel {
		sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
		n := (len(ids) + size - 1) / size
		for i := 0; i < n; i++ {
			p := poolID(m, i)
			s.pools[m] = append(s.pools[m], p)
			s.models[p] = m
		}
		for _, id := range ids {
			p := best(s.pools[m], id)
			s.endpoints[p] = append(s.endpoints[p], id)
		}
	}
	return s
}

// Pools returns the pools of a model.
func (s *Shard) Pools(m core.ModelName) []core.PoolID { return s.pools[m] }

// Endpoints returns the endpoints of a pool in order of name.
func (s *Shard) Endpoints(p core.PoolID) []core.EndpointID { return s.endpoints[p] }

// Model returns the model of a pool, or "" for an unknown pool.
func (s *Shard) Model(p core.PoolID) core.ModelName { return s.models[p] }

// All returns every pool in order of name.
func (s *Shard) All() []core.PoolID {
	all := make([]core.PoolID, 0, len(s.models))
	for p := range s.models {
		all = append(all, p)
	}
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	return all
}

func poolID(m core.ModelName, i int) core.PoolID {
	return core.PoolID(fmt.Sprintf("%s/%s", m, strconv.Itoa(i)))
}

func best(pools []core.PoolID, id core.EndpointID) core.PoolID {
	var top core.PoolID
	var score uint64
	for _, p := range pools {
		if h := xxhash.Sum64String(string(p) + "\x00" + string(id)); top == "" || h > score {
			top, score = p, h
		}
	}
	return top
}
