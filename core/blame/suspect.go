package blame

import (
	"slices"
	"time"

	"snipeshed/core"
)

const (
	// quarantineCrashes is the number of crashes, without an answer in between, after which a part is quarantined if the engines
	// had just begun to answer prompts with it.
	quarantineCrashes = 3
	// quarantineLosses is that number where the evidence includes other lost requests. An engine that crashes loses all of its
	// requests, so the part must also have been lost at minHosts, since one that fails by itself is not the prompts' fault, and in
	// lossShare of the crashes of that time, unless there were manyLosses.
	quarantineLosses = 4
	manyLosses       = 6
	minHosts         = 2
	lossShare        = 2.0 / 3
	// suspectCrashes is the number of crashes after which a request is not sent to a further engine.
	suspectCrashes = 2
	// burstSpan is the time within which crashes count as one: engines that fail together have a common cause other than
	// their prompts.
	burstSpan = 50 * time.Millisecond
	// observationSpan is the least time from a part's first crash to its quarantine. Within it, answers to other requests
	// clear a part that most requests share.
	observationSpan = time.Second
)

// isQuarantined reports whether a part with the given crashes, oldest first, is quarantined.
func (t *Tracker) isQuarantined(now time.Time, part core.PromptPart, crashes []*crash) bool {
	if len(crashes) == 0 || now.Sub(crashes[0].at) < observationSpan || t.shares.isCommon(part) {
		return false
	}
	return countBursts(atHead(part, crashes)) >= quarantineCrashes || t.hasLosses(crashes)
}

// hasLosses reports whether requests with a part that has the given crashes were lost so often that it is quarantined.
func (t *Tracker) hasLosses(crashes []*crash) bool {
	n := countBursts(crashes)
	if n < quarantineLosses || countHosts(crashes) < minHosts {
		return false
	}
	return n >= manyLosses || float64(n) >= lossShare*float64(countBursts(t.crashesSince(crashes[0].at)))
}

// isSuspected reports whether a request with a part that has the given crashes must not be sent to a further engine after it was lost.
func (t *Tracker) isSuspected(part core.PromptPart, crashes []*crash) bool {
	if t.shares.isCommon(part) {
		return false
	}
	return countBursts(atHead(part, crashes)) >= suspectCrashes || countBursts(crashes) >= suspectCrashes && countHosts(crashes) >= minHosts
}

// atHead returns the crashes of engines that had just begun to answer a prompt with the part.
func atHead(part core.PromptPart, crashes []*crash) []*crash {
	var out []*crash
	for _, c := range crashes {
		if e, _ := c.evidence(part); e == core.EvidenceHead {
			out = append(out, c)
		}
	}
	return out
}

// crashesSince returns the crashes from a time on, oldest first.
func (t *Tracker) crashesSince(at time.Time) []*crash {
	var out []*crash
	for _, c := range t.crashes {
		if !c.at.Before(at) {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b *crash) int { return a.at.Compare(b.at) })
	return out
}

// countBursts returns the number of crashes, oldest first, where those within burstSpan count as one.
func countBursts(crashes []*crash) int {
	n := 0
	var last time.Time
	for _, c := range crashes {
		if n == 0 || c.at.Sub(last) > burstSpan {
			n++
			last = c.at
		}
	}
	return n
}

// countHosts returns the number of hosts at which the crashes occurred.
func countHosts(crashes []*crash) int {
	seen := map[string]bool{}
	for _, c := range crashes {
		host := c.host
		if host == "" {
			host = string(c.engine.ID)
		}
		seen[host] = true
	}
	return len(seen)
}

// isExplained reports whether the crashes of a part are due to another part that has more of them: without the crashes that the two
// share, the first would not be quarantined. An engine loses sound requests together with the one that crashes it.
func (t *Tracker) isExplained(now time.Time, part core.PromptPart, crashes []*crash) bool {
	for other, n := range t.crashCounts() {
		if n <= len(crashes) {
			continue
		}
		of := t.crashesOf(other)
		if !t.isQuarantined(now, other, of) {
			continue
		}
		rest := slices.DeleteFunc(slices.Clone(crashes), func(c *crash) bool { return slices.Contains(of, c) })
		if !t.isQuarantined(now, part, rest) {
			return true
		}
	}
	return false
}

// includesShared reports whether the parts of a prompt include all parts that were in each lost prompt with the given part. If
// several parts were, any of them may be the cause, and a prompt with only some of them tells which.
func includesShared(part core.PromptPart, crashes []*crash, parts []core.PromptPart) bool {
	for _, other := range crashes[0].companions(part) {
		shared := !slices.ContainsFunc(crashes, func(c *crash) bool { return !slices.Contains(c.companions(part), other) })
		if shared && !slices.Contains(parts, other) {
			return false
		}
	}
	return true
}
