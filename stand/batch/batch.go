package batch

import (
	"fmt"
	"slices"
	"time"

	"snipeshed/core"
)

// Request describes a sequence. A scheduler under test must not use its output length, which a real engine doesn't know in advance.
type Request struct {
	ID           core.GenerationID
	PromptTokens core.Tokens
	// Prefixes are the prompt's block hashes as returned by the function Prefixes; a prompt without them is not cached.
	Prefixes []uint64
	// OutputTokens is the number of tokens to generate; 0 derives it from Seed.
	OutputTokens core.Tokens
	// MaxTokens limits the generated tokens; 0 means no limit.
	MaxTokens core.Tokens
	Seed      int64
	// Priority orders the sequences: higher values are admitted first and preempted last.
	Priority int64
}

// Batch is one simulated engine. It is not safe for concurrent use.
type Batch struct {
	cfg           Config
	cache         *cache
	seqs          map[core.GenerationID]*sequence
	running       []*sequence // in admission order
	waiting       []*sequence // by descending priority, then in arrival order
	privateTokens core.Tokens // memory of running sequences outside the prefix cache
	stepActive    bool
	nextStart     time.Time // earliest start of the next step; valid while no step is active
	stepEnd       time.Time // end of the active step; valid while a step is active
	events        []Event
	load          Load
	arrivals      int64
}

type sequence struct {
	Request
	arrivalNumber int64
	outputLength  core.Tokens
	finishReason  string
	generated     core.Tokens
	started       bool
	privateTokens core.Tokens
	pinnedBlocks  int         // leading prompt blocks that this sequence pins in the cache
	prefillLeft   core.Tokens // tokens to compute before decoding; after a preemption these include generated tokens
	prefillChunk  core.Tokens // part of prefillLeft that the current step computes
	decoding      bool        // whether the current step decodes a token of this sequence
}

// New returns an idle engine.
func New(cfg Config) *Batch {
	cfg = cfg.withDefaults()
	return &Batch{cfg: cfg, cache: newCache(cfg), seqs: map[core.GenerationID]*sequence{}}
}

// Config returns the configuration with defaults filled in.
func (b *Batch) Config() Config { return b.cfg }

// Add queues a sequence. It fails if the ID is in use, the prompt is empty or the prompt does not fit into the KV memory.
func (b *Batch) Add(now time.Time, r Request) error {
	switch {
	case b.seqs[r.ID] != nil:
		return fmt.Errorf("sequence %q already exists", r.ID)
	case r.PromptTokens <= 0:
		return fmt.Errorf("sequence %q has an empty prompt", r.ID)
	case r.PromptTokens >= b.cfg.KVCapacity:
		return fmt.Errorf("prompt of %d tokens does not fit into a KV capacity of %d tokens", r.PromptTokens, b.cfg.KVCapacity)
	}
	if b.cfg.CacheTokens < 0 {
		r.Prefixes = nil
	}
	// The last prompt token is always computed, even on a full cache hit: the first output token is sampled from its logits.
	if maxBlocks := int((r.PromptTokens - 1) / b.cfg.BlockTokens); len(r.Prefixes) > maxBlocks {
		r.Prefixes = r.Prefixes[:maxBlocks]
	}
	b.arrivals++
	s := &sequence{Request: r, arrivalNumber: b.arrivals, outputLength: r.OutputTokens, finishReason: ReasonStop}
	if s.outputLength <= 0 {
		s.outputLength = OutputLengthFromSeed(r.Seed)
	}
	if r.MaxTokens > 0 && s.outputLength > r.MaxTokens {
		s.outputLength, s.finishReason = r.MaxTokens, ReasonLength
	}
	if !b.stepActive && len(b.seqs) == 0 {
		b.nextStart = now
	}
	b.seqs[r.ID] = s
	b.enqueue(s)
	return nil
}

// Cancel removes a sequence, frees its memory and reports whether the sequence existed.
func (b *Batch) Cancel(id core.GenerationID) bool {
	s := b.seqs[id]
	if s == nil {
		return false
	}
	b.remove(s)
	return true
}

// Next returns the time at which Step is due, or false if there is no work.
func (b *Batch) Next() (time.Time, bool) {
	if b.stepActive {
		return b.stepEnd, true
	}
	return b.nextStart, len(b.seqs) > 0
}

// Step advances the engine to now and returns the events since the previous call in order.
func (b *Batch) Step(now time.Time) []Event {
	for b.stepActive || b.startStep() {
		if b.stepEnd.After(now) {
			break
		}
		b.finishStep()
	}
	out := b.events
	b.events = nil
	return out
}

// Load returns the engine's current load.
func (b *Batch) Load() Load {
	l := b.load
	l.KVUsed = b.privateTokens + b.cache.pinnedTokens()
	l.KVCapacity = b.cfg.KVCapacity
	l.Cached = b.cache.idleTokens()
	l.Running, l.Waiting = len(b.running), len(b.waiting)
	return l
}

// startStep schedules a step that starts at b.nextStart and reports whether there is work.
func (b *Batch) startStep() bool {
	if len(b.seqs) == 0 {
		return false
	}
	preempted := b.load.Preemptions
	// The budget cannot become negative: a sequence is only admitted if the step has a token left for it.
	budget := b.cfg.MaxStepTokens - core.Tokens(b.scheduleDecodes())
	for _, s := range b.running {
		s.prefillChunk = min(s.prefillLeft, budget)
		budget -= s.prefillChunk
	}
	// No admission in a step that preempted: it would immediately take back the memory that was just freed.
	if b.load.Preemptions == preempted {
		for len(b.waiting) > 0 && budget > 0 && b.admit(b.waiting[0]) {
			s := b.running[len(b.running)-1]
			s.prefillChunk = min(s.prefillLeft, budget)
			budget -= s.prefillChunk
		}
	}
	decoded, prompt := 0, core.Tokens(0)
	for _, s := range b.running {
		prompt += s.prefillChunk
		if s.decoding {
			decoded++
		}
	}
	if decoded == 0 && prompt == 0 {
		// Every running sequence ended or was preempted; retry, which admits waiting sequences again.
		return len(b.seqs) > 0 && b.startStep()
	}
	b.stepActive = true
	b.stepEnd = b.nextStart.Add(b.cfg.StepBase + time.Duration(decoded)*b.cfg.StepPerSequence + time.Duration(prompt)*b.cfg.StepPerPromptToken)
	b.emitRemovedBlocks(b.nextStart)
	return true
}

// scheduleDecodes reserves memory for one token of each fully prefilled sequence and returns the number of such sequences.
// If memory runs out, it preempts the running sequence with the lowest priority.
func (b *Batch) scheduleDecodes() int {
	for i := 0; i < len(b.running); i++ {
		s := b.running[i]
		if s.prefillLeft > 0 {
			continue
		}
		if b.reserve(1) {
			s.privateTokens++
			s.decoding = true
			continue
		}
		if len(b.running) == 1 {
			b.stepEnd = b.nextStart
			b.complete(s, ReasonLength)
			break
		}
		victim := b.leastUrgent()
		if slices.Index(b.running, victim) <= i {
			i--
		}
		if victim != s {
			i--
		}
		b.preempt(victim)
	}
	n := 0
	for _, s := range b.running {
		if s.decoding {
			n++
		}
	}
	return n
}

// finishStep ends the active step and emits its tokens.
func (b *Batch) finishStep() {
	b.stepActive = false
	b.nextStart = b.stepEnd
	for _, s := range slices.Clone(b.running) {
		first := s.prefillChunk > 0 && s.prefillChunk == s.prefillLeft
		s.prefillLeft -= s.prefillChunk
		s.prefillChunk = 0
		if first {
			b.cachePrompt(s)
		}
		if !first && !s.decoding {
			continue
		}
		s.decoding = false
		b.emit(Event{Kind: Token, ID: s.ID, Index: s.generated})
		s.generated++
		b.load.Generated++
		if s.generated >= s.outputLength {
			b.complete(s, s.finishReason)
		}
	}
	b.emitRemovedBlocks(b.stepEnd)
}

// admit moves the first waiting sequence to the running ones if there is memory for it and the limit of running sequences
// allows it.
func (b *Batch) admit(s *sequence) bool {
	watermark := core.Tokens(0)
	if len(b.running) > 0 {
		watermark = b.cfg.KVCapacity * core.Tokens(max(b.cfg.WatermarkPercent, 0)) / 100
	}
	found, need := b.memoryDemand(s)
	for b.cfg.PreemptForUrgent && !b.hasRoom(need+watermark) && b.preemptToAdmit(s, need+watermark) {
		// A preemption unpins blocks, which can change the demand.
		found, need = b.memoryDemand(s)
	}
	if !b.hasRoom(need + watermark) {
		return false
	}
	for _, h := range s.Prefixes[:found] {
		b.cache.pin(h)
	}
	s.pinnedBlocks = found
	s.prefillLeft = s.PromptTokens + s.generated - core.Tokens(found)*b.cfg.BlockTokens
	b.reserve(s.prefillLeft)
	s.privateTokens = s.prefillLeft
	b.waiting = b.waiting[1:]
	b.running = append(b.running, s)
	if !s.started {
		s.started = true
		b.events = append(b.events, Event{Kind: Started, At: b.nextStart, ID: s.ID, Cached: core.Tokens(found) * b.cfg.BlockTokens})
	} else {
		b.load.Recomputed += s.prefillLeft
	}
	return true
}

// memoryDemand returns how many leading blocks of s are cached, and how much more memory must be reserved to admit s.
func (b *Batch) memoryDemand(s *sequence) (found int, need core.Tokens) {
	found, idle := b.cache.matchPrefix(s.Prefixes)
	// Idle blocks of this prompt count as demand: they become pinned, so evicting them cannot make room for s.
	return found, s.PromptTokens + s.generated - core.Tokens(found-idle)*b.cfg.BlockTokens
}

func (b *Batch) hasRoom(need core.Tokens) bool {
	return len(b.running) < b.cfg.MaxRunning && b.privateTokens+b.cache.pinnedTokens()+need <= b.cfg.KVCapacity
}

// preemptToAdmit preempts one running sequence if preempting all sequences with a lower priority than s would make room
// for s. It reports whether it did.
func (b *Batch) preemptToAdmit(s *sequence, need core.Tokens) bool {
	room := b.cfg.KVCapacity - b.privateTokens - b.cache.pinnedTokens()
	for _, r := range b.running {
		if r.Priority < s.Priority {
			room += r.privateTokens + core.Tokens(r.pinnedBlocks)*b.cfg.BlockTokens
		}
	}
	victim := b.leastUrgent()
	if victim == nil || victim.Priority >= s.Priority || room < need {
		return false
	}
	b.preempt(victim)
	return true
}

// reserve allocates memory for n tokens, evicting idle cached blocks as needed. It reports whether the memory sufficed.
func (b *Batch) reserve(n core.Tokens) bool {
	if b.privateTokens+b.cache.pinnedTokens()+n > b.cfg.KVCapacity {
		return false
	}
	b.privateTokens += n
	for b.privateTokens+b.cache.pinnedTokens()+b.cache.idleTokens() > b.cfg.KVCapacity {
		b.cache.evict()
	}
	return true
}

// cachePrompt moves the full blocks of a prefilled prompt into the prefix cache.
func (b *Batch) cachePrompt(s *sequence) {
	var stored []uint64
	for _, h := range s.Prefixes[s.pinnedBlocks:] {
		if b.cache.pin(h) {
			stored = append(stored, h)
		}
		s.privateTokens -= b.cfg.BlockTokens
		b.privateTokens -= b.cfg.BlockTokens
	}
	s.pinnedBlocks = len(s.Prefixes)
	if len(stored) > 0 {
		b.emit(Event{Kind: Stored, Blocks: stored})
	}
}

// leastUrgent returns the running sequence with the lowest priority, the newest among equals, or nil if none runs.
func (b *Batch) leastUrgent() *sequence {
	var victim *sequence
	for _, s := range b.running {
		if victim == nil || s.Priority < victim.Priority || (s.Priority == victim.Priority && s.arrivalNumber > victim.arrivalNumber) {
			victim = s
		}
	}
	return victim
}

func (b *Batch) preempt(s *sequence) {
	b.release(s)
	b.load.Preemptions++
	b.enqueue(s)
	b.events = append(b.events, Event{Kind: Preempted, At: b.nextStart, ID: s.ID, Index: s.generated})
}

func (b *Batch) complete(s *sequence, reason string) {
	b.remove(s)
	b.emit(Event{Kind: Done, ID: s.ID, Index: s.generated, Reason: reason})
}

func (b *Batch) remove(s *sequence) {
	b.release(s)
	b.waiting = slices.DeleteFunc(b.waiting, func(w *sequence) bool { return w == s })
	delete(b.seqs, s.ID)
}

// release removes a sequence from the running ones and frees its memory.
func (b *Batch) release(s *sequence) {
	b.running = slices.DeleteFunc(b.running, func(r *sequence) bool { return r == s })
	b.privateTokens -= s.privateTokens
	b.cache.unpin(s.Prefixes[:s.pinnedBlocks])
	s.privateTokens, s.pinnedBlocks, s.prefillLeft, s.prefillChunk, s.decoding = 0, 0, 0, 0, false
}

func (b *Batch) enqueue(s *sequence) {
	i, _ := slices.BinarySearchFunc(b.waiting, s, func(w, s *sequence) int {
		if w.Priority != s.Priority {
			return int(min(max(s.Priority-w.Priority, -1), 1))
		}
		return int(w.arrivalNumber - s.arrivalNumber)
	})
	b.waiting = slices.Insert(b.waiting, i, s)
}

func (b *Batch) emit(e Event) {
	e.At = b.stepEnd
	b.events = append(b.events, e)
}

func (b *Batch) emitRemovedBlocks(at time.Time) {
	if len(b.cache.evicted) > 0 {
		b.events = append(b.events, Event{Kind: Removed, At: at, Blocks: b.cache.evicted})
		b.cache.evicted = nil
	}
}
