package entry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"snipeshed/core"
	"snipeshed/core/prefix"
)

// maxAffinityWait is the extra expected wait that is accepted for the pool that is likely to have the prompt's prefix cached.
const maxAffinityWait = 200 * time.Millisecond

// choosePool selects the pool for a call.
//
// Calls whose prompts start with the same block go to the same pool, chosen by hash among the
// pools of this instance's region, or among all pools if the region has none. If the expected
// wait there exceeds that of a randomly chosen pool by more than maxAffinityWait, that one is used.
func (e *Entry) choosePool(g *generation, avoid []core.PoolID) (core.PoolID, error) {
	now := e.Clock.Now()
	sh := e.Partition()
	pools := slices.Clone(sh.Pools(g.call.Model))
	pools = slices.DeleteFunc(pools, func(p core.PoolID) bool { return slices.Contains(avoid, p) })
	if len(pools) == 0 {
		return "", &core.Error{
			Kind: core.KindNoEndpoint, Message: fmt.Sprintf("no endpoint serves model %q", g.call.Model),
			Remedy: "send the request again later", Execution: core.NotExecuted, RetryAfter: time.Second,
		}
	}
	accepting := slices.DeleteFunc(slices.Clone(pools), func(p core.PoolID) bool {
		r, ok := e.poolLoads.rankLoad(p, g.call.Rank, now)
		return ok && r.Shedding
	})
	if len(accepting) == 0 {
		e.Meter.Count("shed_at_entry")
		return "", &core.Error{
			Kind: core.KindOverloaded, Message: fmt.Sprintf("rank %q has more work than the fleet can take", g.call.Rank),
			Remedy: "send the request again after the stated time", Execution: core.NotExecuted, RetryAfter: maxLoadAge,
		}
	}
	inRegion := slices.DeleteFunc(slices.Clone(accepting), func(p core.PoolID) bool { return sh.Region(p) != e.Settings.GetRegion() })
	if len(inRegion) == 0 {
		inRegion = accepting
	}
	preferred := poolForPrefix(inRegion, g.call.Prompt)
	other := accepting[rand.IntN(len(accepting))]
	if e.expectedWait(other, g, now)+maxAffinityWait < e.expectedWait(preferred, g, now) {
		return other, nil
	}
	return preferred, nil
}

func (e *Entry) expectedWait(p core.PoolID, g *generation, now time.Time) time.Duration {
	r, _ := e.poolLoads.rankLoad(p, g.call.Rank, now)
	return r.ExpectedWait
}

// poolForPrefix selects a pool by the hash of the first block of the prompt, or at random if the prompt has no full block.
func poolForPrefix(pools []core.PoolID, prompt string) core.PoolID {
	hashes := prefix.Hashes(prompt)
	if len(hashes) == 0 {
		return pools[rand.IntN(len(pools))]
	}
	return pools[hashes[0]%uint64(len(pools))]
}
