package admit

import (
	"cmp"
	"slices"
	"time"

	"snipeshed/core"
)

// maxPrefixes limits the remembered prefix blocks of an endpoint; at 16 tokens a block this is a million tokens,
// more than engines keep.
const maxPrefixes = 65536

type endpoint struct {
	info    core.RunnerInfo
	block   core.Tokens
	running []*running
	// sorted tells whether running is in order of the expected remaining lengths, longest first.
	sorted bool
	// held is the memory of the running calls, with shared blocks counted once.
	held core.Tokens
	pace pace
	// decoding is the number of running calls with a first token.
	decoding int
	// targets has the token gap targets of the running and of earlier calls.
	targets []gapTarget
	// prompts is the number of prompt tokens that the engine still has to compute.
	prompts core.Tokens
	// pinned counts for each block the running calls that share it.
	pinned map[uint64]int
	// prefixes has the blocks that the endpoint probably has in its cache, in two generations:
	// when the newer one is full, the older one is dropped.
	newer, older map[uint64]struct{}
	// most is the largest number of own running calls since the last report, mostBefore that between the two reports before.
	most, mostBefore int
	// foreign is the number of calls of other owners at the endpoint, foreignHeld the memory that they held.
	foreign     int
	foreignHeld core.Tokens
	sequences   sequences
}

type gapTarget struct {
	gap   time.Duration
	calls int
	limit runningLimit
}

func newEndpoint(id core.EndpointID, block core.Tokens) *endpoint {
	return &endpoint{
		info: core.RunnerInfo{ID: id}, block: block, pinned: map[uint64]int{},
		newer: map[uint64]struct{}{}, older: map[uint64]struct{}{},
	}
}

// match returns how many leading blocks of a prompt are held by running calls already.
func (e *endpoint) match(c *core.Call) int {
	n := 0
	for _, h := range c.Prefixes {
		if e.pinned[h] == 0 {
			break
		}
		n++
	}
	return n
}

// cached returns how many leading blocks of a prompt the endpoint probably has in its cache.
func (e *endpoint) cached(c *core.Call) int {
	n := 0
	for _, h := range c.Prefixes {
		_, a := e.newer[h]
		_, b := e.older[h]
		if !a && !b {
			break
		}
		n++
	}
	return n
}

// uncached returns the number of prompt tokens that the endpoint will have to compute.
func (e *endpoint) uncached(c *core.Call) core.Tokens {
	return max(c.PromptTokens-core.Tokens(e.cached(c))*e.block, 1)
}

func (e *endpoint) remember(c *core.Call) {
	if len(e.newer)+len(c.Prefixes) > maxPrefixes/2 {
		e.older, e.newer = e.newer, map[uint64]struct{}{}
	}
	for _, h := range c.Prefixes {
		e.newer[h] = struct{}{}
	}
}

// private returns the memory of a call that it does not share.
func (e *endpoint) private(r *running) core.Tokens {
	return r.call.PromptTokens + r.generated - core.Tokens(r.shared)*e.block
}

func (e *endpoint) pin(r *running) {
	for _, h := range r.call.Prefixes[:r.shared] {
		if e.pinned[h]++; e.pinned[h] == 1 {
			e.held += e.block
		}
	}
	e.held += e.private(r)
}

func (e *endpoint) unpin(r *running) {
	for _, h := range r.call.Prefixes[:r.shared] {
		if e.pinned[h]--; e.pinned[h] == 0 {
			delete(e.pinned, h)
			e.held -= e.block
		}
	}
	e.held -= e.private(r)
}

func (e *endpoint) sharedTokens() core.Tokens { return core.Tokens(len(e.pinned)) * e.block }

// forecast returns the peak over the upcoming completions of the memory held at that point, with an extra call if
// there is one: when the i-th longest call completes, the i longest calls each have grown by its remaining length.
// During is the peak until the extra call completes; a later peak of longer calls does not depend on it.
func (e *endpoint) forecast(extra *core.Call, extraMore core.Tokens) (peak, during core.Tokens) {
	if !e.sorted {
		slices.SortStableFunc(e.running, func(x, y *running) int { return cmp.Compare(y.more, x.more) })
		e.sorted = true
	}
	var sum, n core.Tokens
	add := func(now, more core.Tokens) {
		n++
		sum += now
		peak = max(peak, sum+n*more)
	}
	later := core.Tokens(0)
	insert := func() {
		later, peak = peak, 0
		add(extra.PromptTokens-core.Tokens(e.match(extra))*e.block, extraMore)
		extra = nil
	}
	for _, r := range e.running {
		if extra != nil && extraMore >= r.more {
			insert()
		}
		add(e.private(r), r.more)
	}
	if extra != nil {
		insert()
	}
	shared := e.sharedTokens() + foreignGrowth*e.foreignHeld
	return max(peak, later) + shared, peak + shared
}

// target returns the entry of a token gap target, nil when there is none.
func (e *endpoint) target(gap time.Duration) *gapTarget {
	for i := range e.targets {
		if e.targets[i].gap == gap {
			return &e.targets[i]
		}
	}
	return nil
}

// count adds n running calls with a token gap target; most is the limit of running calls.
func (e *endpoint) count(gap time.Duration, n, most int) {
	if t := e.target(gap); t != nil {
		t.calls += n
	} else if gap > 0 {
		e.targets = append(e.targets, gapTarget{gap: gap, calls: n, limit: runningLimit{calls: most}})
	}
}

// streams returns the number of running calls with a token gap target that is at most as long as a given one.
func (e *endpoint) streams(gap time.Duration) int {
	if gap == 0 {
		return len(e.running)
	}
	n := 0
	for _, t := range e.targets {
		if t.gap <= gap {
			n += t.calls
		}
	}
	return n
}

// crowded reports whether one more running call would keep the gaps of a stream, or its own, above their target.
func (e *endpoint) crowded(gap time.Duration) bool {
	if len(e.running) < minRunning {
		return false
	}
	for _, t := range e.targets {
		if t.calls > 0 && (gap == 0 || t.gap < gap) {
			gap = t.gap
		}
	}
	return gap > 0 && e.pace.gap(len(e.running)+1, 0) > gap
}

// stall returns the time by which computing prompt tokens in one step is expected to exceed the gap targets of the
// running calls, summed over them.
func (e *endpoint) stall(prompt core.Tokens) time.Duration {
	gap := e.pace.gap(len(e.running), prompt)
	var sum time.Duration
	for _, t := range e.targets {
		sum += max(gap-t.gap, 0) * time.Duration(t.calls)
	}
	return sum
}

// exceeds reports whether a gap is above the target of any running call.
func (e *endpoint) exceeds(gap time.Duration) bool {
	return slices.ContainsFunc(e.targets, func(t gapTarget) bool { return t.calls > 0 && gap > t.gap })
}

func (e *endpoint) limit(pct int64) core.Tokens {
	return e.info.KVCapacity * core.Tokens(pct) / percent
}
