package entry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"snipeshed/core"
	"snipeshed/core/prefix"
)

// affinityWait is how much longer a call may wait for the pool that is likely to have its prompt's prefix cached.
const affinityWait = 200 * time.Millisecond

// choose picks the pool for a call.
//
// Calls with the same first block of the prompt go to the same pool of the own
// region, if there is one, unless its wait is longer than that of a random other.
func (e *Entry) choose(g *generation, avoid []core.PoolID) (core.PoolID, error) {
	now := e.Clock.Now()
	sh := e.Shard()
	pools := slices.Clone(sh.Pools(g.call.Model))
	pools = slices.DeleteFunc(pools, func(p core.PoolID) bool { return slices.Contains(avoid, p) })
	if len(pools) == 0 {
		return "", &core.Error{
			Kind: core.KindNoEndpoint, Message: fmt.Sprintf("no endpoint serves model %q", g.call.Model),
			Remedy: "send the request again later", Run: core.RunNot, RetryAfter: time.Second,
		}
	}
	open := slices.DeleteFunc(slices.Clone(pools), func(p core.PoolID) bool {
		r, ok := e.loads.rank(p, g.call.Rank, now)
		return ok && r.Shedding
	})
	if len(open) == 0 {
		e.Meter.Count("shed_at_entry")
		return "", &core.Error{
			Kind: core.KindOverloaded, Message: fmt.Sprintf("rank %q has more work than the fleet can take", g.call.Rank),
			Remedy: "send the request again after the stated time", Run: core.RunNot, RetryAfter: loadAge,
		}
	}
	near := slices.DeleteFunc(slices.Clone(open), func(p core.PoolID) bool { return sh.Region(p) != e.Settings.GetRegion() })
	if len(near) == 0 {
		near = open
	}
	first := preferred(near, g.call.Prompt)
	other := open[rand.IntN(len(open))]
	if e.wait(other, g, now)+affinityWait < e.wait(first, g, now) {
		return other, nil
	}
	return first, nil
}

func (e *Entry) wait(p core.PoolID, g *generation, now time.Time) time.Duration {
	r, _ := e.loads.rank(p, g.call.Rank, now)
	return r.ExpectedWait
}

func preferred(pools []core.PoolID, prompt string) core.PoolID {
	hashes := prefix.Hashes(prompt)
	if len(hashes) == 0 {
		return pools[rand.IntN(len(pools))]
	}
	return pools[hashes[0]%uint64(len(pools))]
}
