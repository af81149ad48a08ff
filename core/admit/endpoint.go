package admit

import (
	"cmp"
	"slices"
	"time"

	"snipeshed/core"
)

// maxCachedBlocks limits the remembered prefix blocks of an endpoint; at 16 tokens per block this is a million tokens,
// more than engines cache.
const maxCachedBlocks = 65536

// endpoint is the state of one endpoint and its running calls.
type endpoint struct {
	info        core.RunnerInfo
	blockTokens core.Tokens
	running     []*runningCall
	// sorted reports whether running is sorted by expected remaining length, longest first.
	sorted bool
	// heldTokens is the memory of the running calls, with shared blocks counted once.
	heldTokens core.Tokens
	stepTime   stepTimeModel
	// decodingCalls is the number of running calls that have generated at least one token.
	decodingCalls int
	// gapTargets holds the token gap targets of running and earlier calls.
	gapTargets []gapTarget
	// pendingPrompts is the number of prompt tokens that the engine still has to compute.
	pendingPrompts core.Tokens
	// sharedRefs counts the running calls that share each prompt block.
	sharedRefs map[uint64]int
	// newerBlocks and olderBlocks hold the prompt blocks that the endpoint probably has in its cache: when newerBlocks is
	// full, it replaces olderBlocks.
	newerBlocks, olderBlocks map[uint64]struct{}
	// maxRunning is the largest number of this owner's running calls since the last report, prevMaxRunning that of the
	// report interval before.
	maxRunning, prevMaxRunning int
	// foreignCalls is the number of other owners' calls at the endpoint, foreignTokens the memory that they hold.
	foreignCalls  int
	foreignTokens core.Tokens
	sequenceLimit sequenceLimit
}

// gapTarget counts and limits the running calls with one token gap target.
type gapTarget struct {
	gap         time.Duration
	calls       int
	streamLimit streamLimit
}

func newEndpoint(id core.EndpointID, blockTokens core.Tokens) *endpoint {
	return &endpoint{
		info: core.RunnerInfo{ID: id}, blockTokens: blockTokens, sharedRefs: map[uint64]int{},
		newerBlocks: map[uint64]struct{}{}, olderBlocks: map[uint64]struct{}{},
	}
}

// sharedBlocks returns the number of leading blocks of a prompt that running calls already hold.
func (e *endpoint) sharedBlocks(c *core.Call) int {
	n := 0
	for _, h := range c.Prefixes {
		if e.sharedRefs[h] == 0 {
			break
		}
		n++
	}
	return n
}

// cachedBlocks returns the number of leading blocks of a prompt that the endpoint probably has in its cache.
func (e *endpoint) cachedBlocks(c *core.Call) int {
	n := 0
	for _, h := range c.Prefixes {
		_, a := e.newerBlocks[h]
		_, b := e.olderBlocks[h]
		if !a && !b {
			break
		}
		n++
	}
	return n
}

// uncachedTokens returns the number of prompt tokens that the endpoint will have to compute, at least 1.
func (e *endpoint) uncachedTokens(c *core.Call) core.Tokens {
	return max(c.PromptTokens-core.Tokens(e.cachedBlocks(c))*e.blockTokens, 1)
}

// rememberPrefixes records that a call's prompt blocks will be in the endpoint's cache.
func (e *endpoint) rememberPrefixes(c *core.Call) {
	if len(e.newerBlocks)+len(c.Prefixes) > maxCachedBlocks/2 {
		e.olderBlocks, e.newerBlocks = e.newerBlocks, map[uint64]struct{}{}
	}
	for _, h := range c.Prefixes {
		e.newerBlocks[h] = struct{}{}
	}
}

// privateTokens returns the part of a call's memory that it shares with no other call.
func (e *endpoint) privateTokens(r *runningCall) core.Tokens {
	return r.call.PromptTokens + r.generated - core.Tokens(r.sharedBlocks)*e.blockTokens
}

// addMemory adds a call's memory to the held memory.
func (e *endpoint) addMemory(r *runningCall) {
	for _, h := range r.call.Prefixes[:r.sharedBlocks] {
		if e.sharedRefs[h]++; e.sharedRefs[h] == 1 {
			e.heldTokens += e.blockTokens
		}
	}
	e.heldTokens += e.privateTokens(r)
}

// removeMemory removes a call's memory from the held memory.
func (e *endpoint) removeMemory(r *runningCall) {
	for _, h := range r.call.Prefixes[:r.sharedBlocks] {
		if e.sharedRefs[h]--; e.sharedRefs[h] == 0 {
			delete(e.sharedRefs, h)
			e.heldTokens -= e.blockTokens
		}
	}
	e.heldTokens -= e.privateTokens(r)
}

// sharedTokens returns the memory of all shared prompt blocks.
func (e *endpoint) sharedTokens() core.Tokens { return core.Tokens(len(e.sharedRefs)) * e.blockTokens }

// forecast returns the expected peak of the held memory, including that of an extra call unless it is nil.
//
// The memory peaks when some call completes: when the i-th longest call completes, the i longest calls each have grown by
// its remaining length. The second result is the peak until the extra call completes; a later peak of longer calls does
// not depend on the extra call.
func (e *endpoint) forecast(extra *core.Call, extraOutput core.Tokens) (peak, peakDuringCall core.Tokens) {
	if !e.sorted {
		slices.SortStableFunc(e.running, func(x, y *runningCall) int { return cmp.Compare(y.expectedMore, x.expectedMore) })
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
		add(extra.PromptTokens-core.Tokens(e.sharedBlocks(extra))*e.blockTokens, extraOutput)
		extra = nil
	}
	for _, r := range e.running {
		if extra != nil && extraOutput >= r.expectedMore {
			insert()
		}
		add(e.privateTokens(r), r.expectedMore)
	}
	if extra != nil {
		insert()
	}
	shared := e.sharedTokens() + foreignGrowth*e.foreignTokens
	return max(peak, later) + shared, peak + shared
}

// findGapTarget returns the state of a token gap target, or nil when there is none.
func (e *endpoint) findGapTarget(gap time.Duration) *gapTarget {
	for i := range e.gapTargets {
		if e.gapTargets[i].gap == gap {
			return &e.gapTargets[i]
		}
	}
	return nil
}

// addCalls adds n to the running calls with a token gap target; maxCalls is the initial limit of a new target.
func (e *endpoint) addCalls(gap time.Duration, n, maxCalls int) {
	if t := e.findGapTarget(gap); t != nil {
		t.calls += n
	} else if gap > 0 {
		e.gapTargets = append(e.gapTargets, gapTarget{gap: gap, calls: n, streamLimit: streamLimit{limit: maxCalls}})
	}
}

// callsWithin returns the number of running calls whose token gap target is at most gap; 0 counts all running calls.
func (e *endpoint) callsWithin(gap time.Duration) int {
	if gap == 0 {
		return len(e.running)
	}
	n := 0
	for _, t := range e.gapTargets {
		if t.gap <= gap {
			n += t.calls
		}
	}
	return n
}

// stepTooSlow reports whether one more running call would make the token gaps of it or of a running stream exceed their
// target.
func (e *endpoint) stepTooSlow(gap time.Duration) bool {
	if len(e.running) < minRunning {
		return false
	}
	for _, t := range e.gapTargets {
		if t.calls > 0 && (gap == 0 || t.gap < gap) {
			gap = t.gap
		}
	}
	return gap > 0 && e.stepTime.expectedGap(len(e.running)+1, 0) > gap
}

// expectedStall returns the time by which a step that computes the prompt tokens is expected to exceed the token gap
// targets of the running calls, summed over these calls.
func (e *endpoint) expectedStall(prompt core.Tokens) time.Duration {
	gap := e.stepTime.expectedGap(len(e.running), prompt)
	var sum time.Duration
	for _, t := range e.gapTargets {
		sum += max(gap-t.gap, 0) * time.Duration(t.calls)
	}
	return sum
}

// exceedsGapTarget reports whether a gap is longer than the target of any running call.
func (e *endpoint) exceedsGapTarget(gap time.Duration) bool {
	return slices.ContainsFunc(e.gapTargets, func(t gapTarget) bool { return t.calls > 0 && gap > t.gap })
}

// memoryShare returns the given percentage of the endpoint's memory.
func (e *endpoint) memoryShare(percentage int64) core.Tokens {
	return e.info.KVCapacity * core.Tokens(percentage) / percent
}
