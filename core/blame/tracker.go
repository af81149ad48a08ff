package blame

import (
	"slices"
	"sync"
	"time"

	"snipeshed/core"
)

const (
	// retention is how long a crash is kept after it, or after the last request that was refused on account of it.
	retention = 2 * time.Minute
	// trialInterval is the time after a part's last crash, and between two trials, after which one request with it is sent
	// to an engine after all. Parts with maxTrialCrashes crashes or more get no trials.
	trialInterval   = 30 * time.Second
	maxTrialCrashes = 5
	// tellSpan is how long a cleared part is told to other instances.
	tellSpan = 3 * time.Second

	maxCrashes       = 24
	maxCrashesOfPart = 16  // further crashes change no decision
	maxClearedParts  = 512 // remembered
)

// Tracker holds the crashes that are not explained yet; it is safe for concurrent use.
//
// Instances exchange the content with Report and Merge. Merging is commutative and idempotent, so that reports may be lost,
// repeated and reordered.
type Tracker struct {
	mayTry func(core.PromptPart) bool

	mu      sync.Mutex
	crashes map[core.Incarnation]*crash
	pending pendingLosses
	shares  partShares
	answers recentAnswers
	cleared map[core.PromptPart]*clearing
	trials  map[core.PromptPart]time.Time // time of the last trial by this instance
	version uint64
}

// clearing holds when a prompt with a part was last answered.
type clearing struct {
	at         time.Time // at least in part
	completeAt time.Time
	tellUntil  time.Time
}

// covers returns the time of the last answer that explains a loss with the given evidence.
func (c *clearing) covers(e core.Evidence) time.Time {
	if e == core.EvidenceEvents {
		return c.completeAt
	}
	return c.at
}

// Option configures a Tracker.
type Option func(*Tracker)

// WithTrials lets this instance try quarantined parts for which fn returns true; at most one instance should try a part.
func WithTrials(fn func(core.PromptPart) bool) Option {
	return func(t *Tracker) { t.mayTry = fn }
}

// New returns a Tracker without crashes that tries no quarantined parts.
func New(opts ...Option) *Tracker {
	t := &Tracker{
		mayTry: func(core.PromptPart) bool { return false }, crashes: map[core.Incarnation]*crash{},
		cleared: map[core.PromptPart]*clearing{}, trials: map[core.PromptPart]time.Time{}, pending: newPendingLosses(),
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// RecordCrash records that an engine process crashed when it had begun to answer a prompt with the given parts and had sent no
// event. It reports whether that is new.
func (t *Tracker) RecordCrash(now time.Time, p core.Incarnation, parts []core.PromptPart) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	info, losses := t.pending.end(now, p)
	added := t.addCrash(now, info, core.Loss{Evidence: core.EvidenceHead, Parts: parts})
	for _, l := range losses {
		added = t.addCrash(now, info, l) || added
	}
	return added
}

// RecordLoss records that an engine lost a request. It counts once the engine's process is known to have ended, and reports whether
// that is so.
func (t *Tracker) RecordLoss(now time.Time, e core.Endpoint, l core.Loss) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	end, ended := t.pending.add(now, e, l)
	if !ended || !end.mayBeCausedBy(l) {
		return false
	}
	return t.addCrash(now, crashInfo{engine: e.Incarnation(), host: e.Address, at: end.endedAt(), usedAt: end.noticedAt}, l)
}

// HasLosses reports whether requests are known that an engine's process has lost, without evidence that it has ended.
func (t *Tracker) HasLosses(p core.Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pending.lost[p] != nil
}

// RecordEnd records that an engine's process has ended by itself, and returns its losses that are evidence by that.
func (t *Tracker) RecordEnd(now time.Time, p core.Incarnation) []core.Loss {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []core.Loss
	info, losses := t.pending.end(now, p)
	for _, l := range losses {
		if t.addCrash(now, info, l) {
			out = append(out, l)
		}
	}
	return out
}

// RecordAnswer records that an engine has begun to answer a prompt with the given parts. It returns those of which other instances
// should hear soon that they are cleared.
func (t *Tracker) RecordAnswer(now time.Time, parts []core.PromptPart) []core.PromptPart {
	return t.recordAnswer(parts, clearing{at: now, tellUntil: now.Add(tellSpan)})
}

// RecordComplete records that an engine has answered a prompt with the given parts to its end. It returns the same as RecordAnswer.
func (t *Tracker) RecordComplete(now time.Time, parts []core.PromptPart) []core.PromptPart {
	return t.recordAnswer(parts, clearing{at: now, completeAt: now, tellUntil: now.Add(tellSpan)})
}

func (t *Tracker) recordAnswer(parts []core.PromptPart, c clearing) []core.PromptPart {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []core.PromptPart
	for _, part := range parts {
		t.answers.add(part, c)
		if !t.explainsAny(part, c) {
			continue
		}
		if t.isNotable(part) {
			out = append(out, part)
		}
		t.clear(part, c)
	}
	return out
}

// isNotable reports whether other instances should hear of a part soon: an engine crashed when it had begun to answer a prompt with it,
// or several crashed. A crash loses dozens of requests, and most of their parts are never heard of again.
func (t *Tracker) isNotable(part core.PromptPart) bool {
	crashes := t.crashesOf(part)
	return len(crashes) >= suspectCrashes || len(atHead(part, crashes)) > 0
}

// explainsAny reports whether an answer explains a loss of the part.
func (t *Tracker) explainsAny(part core.PromptPart, answer clearing) bool {
	return slices.ContainsFunc(t.crashesOf(part), func(c *crash) bool { return c.explainedBy(part, answer) })
}

// Suspected reports whether the prompt has a part with suspectCrashes crashes or more.
func (t *Tracker) Suspected(now time.Time, parts []core.PromptPart) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	return slices.ContainsFunc(parts, func(part core.PromptPart) bool { return t.isSuspected(part, t.crashesOf(part)) })
}

// RecordRequest records that a caller has sent a prompt with the given parts.
func (t *Tracker) RecordRequest(now time.Time, parts []core.PromptPart) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shares.add(now, parts)
}

// Check reports whether a prompt with the given parts must not be sent to an engine, and why.
func (t *Tracker) Check(now time.Time, parts []core.PromptPart) (core.Quarantine, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	for _, part := range parts {
		crashes := t.crashesOf(part)
		if !t.isQuarantined(now, part, crashes) || t.isExplained(now, part, crashes) || !includesShared(part, crashes, parts) {
			continue
		}
		for _, c := range crashes {
			c.usedAt = now
		}
		return core.Quarantine{Part: part, Crashes: len(crashes)}, true
	}
	return core.Quarantine{}, false
}

// TakeTrial reports whether one request with a quarantined part may be sent to an engine after all, and records that it was.
func (t *Tracker) TakeTrial(now time.Time, part core.PromptPart) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	crashes := t.crashesOf(part)
	if len(crashes) == 0 || len(crashes) >= maxTrialCrashes || !t.mayTry(part) {
		return false
	}
	last := crashes[len(crashes)-1].at
	if trial := t.trials[part]; trial.After(last) {
		last = trial
	}
	if now.Sub(last) < trialInterval {
		return false
	}
	t.trials[part] = now
	return true
}

// HasQuarantine reports whether any part is quarantined.
func (t *Tracker) HasQuarantine(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	for part, n := range t.crashCounts() {
		if n >= quarantineCrashes && t.isQuarantined(now, part, t.crashesOf(part)) {
			return true
		}
	}
	return false
}

// crashesOf returns the crashes of a part, oldest first.
func (t *Tracker) crashesOf(part core.PromptPart) []*crash {
	var out []*crash
	for _, c := range t.crashes {
		if _, ok := c.evidence(part); ok {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b *crash) int { return a.at.Compare(b.at) })
	return out
}

// crashCounts returns the number of crashes of each part.
func (t *Tracker) crashCounts() map[core.PromptPart]int {
	out := map[core.PromptPart]int{}
	for _, c := range t.crashes {
		seen := map[core.PromptPart]bool{}
		for _, l := range c.losses {
			for _, part := range l.Parts {
				if !seen[part] {
					seen[part] = true
					out[part]++
				}
			}
		}
	}
	return out
}

// addCrash adds a loss with those of its parts that were not cleared after the crash, and reports whether anything is new.
func (t *Tracker) addCrash(now time.Time, info crashInfo, l core.Loss) bool {
	c, known := t.crashes[info.engine]
	if !known && t.addsNothing(l.Parts) {
		return false
	}
	if !known {
		c = &crash{crashInfo: info}
	}
	c.update(info)
	l.Parts = slices.DeleteFunc(slices.Clone(l.Parts), func(part core.PromptPart) bool {
		return len(part) > maxPartBytes || t.clearedSince(now, part, l.Evidence, c.at)
	})
	if !c.add(l) {
		return false
	}
	if !known {
		t.evictCrash()
		t.crashes[info.engine] = c
	}
	if slices.ContainsFunc(l.Parts, t.isNotable) {
		t.version++
	}
	return true
}

// addsNothing reports whether a crash has a part with so many crashes that one more changes no decision. The other parts of the
// prompt must not be suspected for it either: without that part in the record, they would seem to be the cause.
func (t *Tracker) addsNothing(parts []core.PromptPart) bool {
	return slices.ContainsFunc(parts, func(part core.PromptPart) bool { return len(t.crashesOf(part)) >= maxCrashesOfPart })
}

// clearedSince reports whether a loss of a part is explained by an answer at the given time or later. If so, other instances are
// told again, as one of them still suspects the part.
func (t *Tracker) clearedSince(now time.Time, part core.PromptPart, e core.Evidence, at time.Time) bool {
	c := t.cleared[part]
	if c == nil || c.covers(e).Before(at) {
		recent := t.answers.find(part)
		return !recent.covers(e).Before(at)
	}
	c.tellUntil = now.Add(tellSpan)
	return true
}

// tellAnswers tells other instances of answers here that explain a loss which one of them reports.
func (t *Tracker) tellAnswers(now, at time.Time, l core.Loss) {
	for _, part := range l.Parts {
		recent := t.answers.find(part)
		if recent.covers(l.Evidence).Before(at) {
			continue
		}
		recent.tellUntil = now.Add(tellSpan)
		t.clear(part, recent)
	}
}

// evictCrash makes room for another crash.
func (t *Tracker) evictCrash() {
	if len(t.crashes) < maxCrashes {
		return
	}
	var oldest core.Incarnation
	var least time.Time
	for p, c := range t.crashes {
		if least.IsZero() || c.usedAt.Before(least) {
			oldest, least = p, c.usedAt
		}
	}
	delete(t.crashes, oldest)
}

// clear records that a part was answered and removes it from the losses that the answer explains.
func (t *Tracker) clear(part core.PromptPart, c clearing) {
	if old := t.cleared[part]; old != nil {
		c.at, c.completeAt = core.Later(old.at, c.at), core.Later(old.completeAt, c.completeAt)
	} else if len(t.cleared) >= maxClearedParts {
		t.evictCleared()
	}
	t.cleared[part] = &c
	if t.isNotable(part) {
		t.version++
	}
	for p, crash := range t.crashes {
		crash.removeExplained(part, c)
		if len(crash.losses) == 0 {
			delete(t.crashes, p)
		}
	}
	delete(t.trials, part)
}

// evictCleared makes room for another cleared part.
func (t *Tracker) evictCleared() {
	var oldest core.PromptPart
	var least time.Time
	for part, c := range t.cleared {
		if least.IsZero() || c.at.Before(least) {
			oldest, least = part, c.at
		}
	}
	delete(t.cleared, oldest)
}

// expire removes what is older than retention.
func (t *Tracker) expire(now time.Time) {
	t.pending.expire(now)
	for p, c := range t.crashes {
		if now.Sub(c.usedAt) > retention {
			delete(t.crashes, p)
		}
	}
	for part, c := range t.cleared {
		if now.Sub(c.at) > retention {
			delete(t.cleared, part)
		}
	}
	for part, at := range t.trials {
		if now.Sub(at) > retention {
			delete(t.trials, part)
		}
	}
}
