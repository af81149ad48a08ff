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
	// Prefixes are the prompt's block hashes as returned by PrefixHashes; a prompt without them is not cached.
	Prefixes []uint64
	// OutputTokens is the number of tokens to generate; 0 derives it from Seed.
	OutputTokens core.Tokens
	// MaxTokens limits the generated tokens; 0 means no limit.
	MaxTokens core.Tokens
	Seed      int64
	// Priority orders the sequences: higher values are admitted first and preempted last.
	Priority int64
}

// Engine is a simulated inference engine. It is not safe for concurrent use.
type Engine struct {
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
func New(cfg Config) *Engine {
	cfg = cfg.withDefaults()
	return &Engine{cfg: cfg, cache: newCache(cfg), seqs: map[core.GenerationID]*sequence{}}
}

// Config returns the configuration with defaults filled in.
func (e *Engine) Config() Config { return e.cfg }

// Add queues a sequence. It fails if the ID is in use, the prompt is empty or the prompt does not fit into the KV memory.
func (e *Engine) Add(now time.Time, r Request) error {
	switch {
	case e.seqs[r.ID] != nil:
		return fmt.Errorf("sequence %q already exists", r.ID)
	case r.PromptTokens <= 0:
		return fmt.Errorf("sequence %q has an empty prompt", r.ID)
	case r.PromptTokens >= e.cfg.KVCapacity:
		return fmt.Errorf("prompt of %d tokens does not fit into a KV capacity of %d tokens", r.PromptTokens, e.cfg.KVCapacity)
	}
	if e.cfg.CacheTokens < 0 {
		r.Prefixes = nil
	}
	// The last prompt token is always computed, even on a full cache hit: the first output token is sampled from its logits.
	if maxBlocks := int((r.PromptTokens - 1) / e.cfg.BlockTokens); len(r.Prefixes) > maxBlocks {
		r.Prefixes = r.Prefixes[:maxBlocks]
	}
	e.arrivals++
	s := &sequence{Request: r, arrivalNumber: e.arrivals, outputLength: r.OutputTokens, finishReason: ReasonStop}
	if s.outputLength <= 0 {
		s.outputLength = OutputLengthFromSeed(r.Seed)
	}
	if r.MaxTokens > 0 && s.outputLength > r.MaxTokens {
		s.outputLength, s.finishReason = r.MaxTokens, ReasonLength
	}
	if !e.stepActive && len(e.seqs) == 0 {
		e.nextStart = now
	}
	e.seqs[r.ID] = s
	e.enqueue(s)
	return nil
}

// Cancel removes a sequence, frees its memory and reports whether the sequence existed.
func (e *Engine) Cancel(id core.GenerationID) bool {
	s := e.seqs[id]
	if s == nil {
		return false
	}
	e.remove(s)
	return true
}

// Next returns the time at which Step is due, or false if there is no work.
func (e *Engine) Next() (time.Time, bool) {
	if e.stepActive {
		return e.stepEnd, true
	}
	return e.nextStart, len(e.seqs) > 0
}

// Step advances the engine to now and returns the events since the previous call in order.
func (e *Engine) Step(now time.Time) []Event {
	for e.stepActive || e.startStep() {
		if e.stepEnd.After(now) {
			break
		}
		e.finishStep()
	}
	out := e.events
	e.events = nil
	return out
}

// Load returns the engine's current load.
func (e *Engine) Load() Load {
	l := e.load
	l.KVUsed = e.privateTokens + e.cache.pinnedTokens()
	l.KVCapacity = e.cfg.KVCapacity
	l.Cached = e.cache.idleTokens()
	l.Running, l.Waiting = len(e.running), len(e.waiting)
	return l
}

// startStep schedules a step that starts at e.nextStart and reports whether there is work.
func (e *Engine) startStep() bool {
	if len(e.seqs) == 0 {
		return false
	}
	preemptionsBefore := e.load.Preemptions
	// The budget cannot become negative: a sequence is only admitted if the step has a token left for it.
	budget := e.cfg.MaxStepTokens - core.Tokens(e.scheduleDecodes())
	for _, s := range e.running {
		s.prefillChunk = min(s.prefillLeft, budget)
		budget -= s.prefillChunk
	}
	// No admission in a step that preempted: it would immediately take back the memory that was just freed.
	if e.load.Preemptions == preemptionsBefore {
		for len(e.waiting) > 0 && budget > 0 && e.admit(e.waiting[0]) {
			s := e.running[len(e.running)-1]
			s.prefillChunk = min(s.prefillLeft, budget)
			budget -= s.prefillChunk
		}
	}
	decodes, promptTokens := 0, core.Tokens(0)
	for _, s := range e.running {
		promptTokens += s.prefillChunk
		if s.decoding {
			decodes++
		}
	}
	if decodes == 0 && promptTokens == 0 {
		// Every running sequence ended or was preempted; retry, which admits waiting sequences again.
		return len(e.seqs) > 0 && e.startStep()
	}
	e.stepActive = true
	e.stepEnd = e.nextStart.Add(e.cfg.StepBase + time.Duration(decodes)*e.cfg.StepPerSequence +
		time.Duration(promptTokens)*e.cfg.StepPerPromptToken)
	e.emitRemovedBlocks(e.nextStart)
	return true
}

// scheduleDecodes reserves memory for one token of each fully prefilled sequence and returns the number of such sequences.
// If memory runs out, it preempts the running sequence with the lowest priority.
func (e *Engine) scheduleDecodes() int {
	for i := 0; i < len(e.running); i++ {
		s := e.running[i]
		if s.prefillLeft > 0 {
			continue
		}
		if e.reserve(1) {
			s.privateTokens++
			s.decoding = true
			continue
		}
		if len(e.running) == 1 {
			e.stepEnd = e.nextStart
			e.complete(s, ReasonLength)
			break
		}
		// Removing the victim shifts the sequences after it. The loop continues with s again, unless s is the victim.
		victim := e.preemptionVictim()
		if slices.Index(e.running, victim) <= i {
			i--
		}
		if victim != s {
			i--
		}
		e.preempt(victim)
	}
	n := 0
	for _, s := range e.running {
		if s.decoding {
			n++
		}
	}
	return n
}

// finishStep ends the active step and emits its tokens.
func (e *Engine) finishStep() {
	e.stepActive = false
	e.nextStart = e.stepEnd
	for _, s := range slices.Clone(e.running) {
		prefillDone := s.prefillChunk > 0 && s.prefillChunk == s.prefillLeft
		s.prefillLeft -= s.prefillChunk
		s.prefillChunk = 0
		if prefillDone {
			e.cachePrompt(s)
		}
		if !prefillDone && !s.decoding {
			continue
		}
		s.decoding = false
		e.emit(Event{Kind: Token, ID: s.ID, Index: s.generated})
		s.generated++
		e.load.Generated++
		if s.generated >= s.outputLength {
			e.complete(s, s.finishReason)
		}
	}
	e.emitRemovedBlocks(e.stepEnd)
}

// admit moves the first waiting sequence to the running ones if there is memory for it and the limit of running sequences
// allows it.
func (e *Engine) admit(s *sequence) bool {
	watermark := core.Tokens(0)
	if len(e.running) > 0 {
		watermark = e.cfg.KVCapacity * core.Tokens(max(e.cfg.WatermarkPercent, 0)) / 100
	}
	cachedBlocks, need := e.memoryDemand(s)
	for e.cfg.PreemptForUrgent && !e.hasRoom(need+watermark) && e.preemptToAdmit(s, need+watermark) {
		// A preemption unpins blocks, which can change the demand.
		cachedBlocks, need = e.memoryDemand(s)
	}
	if !e.hasRoom(need + watermark) {
		return false
	}
	for _, h := range s.Prefixes[:cachedBlocks] {
		e.cache.pin(h)
	}
	s.pinnedBlocks = cachedBlocks
	s.prefillLeft = s.PromptTokens + s.generated - core.Tokens(cachedBlocks)*e.cfg.BlockTokens
	e.reserve(s.prefillLeft)
	s.privateTokens = s.prefillLeft
	e.waiting = e.waiting[1:]
	e.running = append(e.running, s)
	if !s.started {
		s.started = true
		e.events = append(e.events, Event{Kind: Started, At: e.nextStart, ID: s.ID, Cached: core.Tokens(cachedBlocks) * e.cfg.BlockTokens})
	} else {
		e.load.Recomputed += s.prefillLeft
	}
	return true
}

// memoryDemand returns how many leading blocks of s are cached, and how much more memory must be reserved to admit s.
func (e *Engine) memoryDemand(s *sequence) (cachedBlocks int, need core.Tokens) {
	cachedBlocks, idle := e.cache.matchPrefix(s.Prefixes)
	// Idle blocks of this prompt count as demand: they become pinned, so evicting them cannot make room for s.
	return cachedBlocks, s.PromptTokens + s.generated - core.Tokens(cachedBlocks-idle)*e.cfg.BlockTokens
}

func (e *Engine) hasRoom(need core.Tokens) bool {
	return len(e.running) < e.cfg.MaxRunning && e.privateTokens+e.cache.pinnedTokens()+need <= e.cfg.KVCapacity
}

// preemptToAdmit preempts one running sequence if preempting all sequences with a lower priority than s would make room
// for s. It reports whether it did.
func (e *Engine) preemptToAdmit(s *sequence, need core.Tokens) bool {
	room := e.cfg.KVCapacity - e.privateTokens - e.cache.pinnedTokens()
	for _, r := range e.running {
		if r.Priority < s.Priority {
			room += r.privateTokens + core.Tokens(r.pinnedBlocks)*e.cfg.BlockTokens
		}
	}
	victim := e.preemptionVictim()
	if victim == nil || victim.Priority >= s.Priority || room < need {
		return false
	}
	e.preempt(victim)
	return true
}

// reserve allocates memory for n tokens, evicting idle cached blocks as needed. It reports whether the memory sufficed.
func (e *Engine) reserve(n core.Tokens) bool {
	if e.privateTokens+e.cache.pinnedTokens()+n > e.cfg.KVCapacity {
		return false
	}
	e.privateTokens += n
	for e.privateTokens+e.cache.pinnedTokens()+e.cache.idleTokens() > e.cfg.KVCapacity {
		e.cache.evict()
	}
	return true
}

// cachePrompt moves the full blocks of a prefilled prompt into the prefix cache.
func (e *Engine) cachePrompt(s *sequence) {
	var stored []uint64
	for _, h := range s.Prefixes[s.pinnedBlocks:] {
		if e.cache.pin(h) {
			stored = append(stored, h)
		}
		s.privateTokens -= e.cfg.BlockTokens
		e.privateTokens -= e.cfg.BlockTokens
	}
	s.pinnedBlocks = len(s.Prefixes)
	if len(stored) > 0 {
		e.emit(Event{Kind: Stored, Blocks: stored})
	}
}

// preemptionVictim returns the running sequence with the lowest priority, the newest among equals, or nil if none runs.
func (e *Engine) preemptionVictim() *sequence {
	var victim *sequence
	for _, s := range e.running {
		if victim == nil || s.Priority < victim.Priority || (s.Priority == victim.Priority && s.arrivalNumber > victim.arrivalNumber) {
			victim = s
		}
	}
	return victim
}

func (e *Engine) preempt(s *sequence) {
	e.release(s)
	e.load.Preemptions++
	e.enqueue(s)
	e.events = append(e.events, Event{Kind: Preempted, At: e.nextStart, ID: s.ID, Index: s.generated})
}

func (e *Engine) complete(s *sequence, reason string) {
	e.remove(s)
	e.emit(Event{Kind: Done, ID: s.ID, Index: s.generated, Reason: reason})
}

func (e *Engine) remove(s *sequence) {
	e.release(s)
	e.waiting = slices.DeleteFunc(e.waiting, func(w *sequence) bool { return w == s })
	delete(e.seqs, s.ID)
}

// release removes a sequence from the running ones and frees its memory.
func (e *Engine) release(s *sequence) {
	e.running = slices.DeleteFunc(e.running, func(r *sequence) bool { return r == s })
	e.privateTokens -= s.privateTokens
	e.cache.unpin(s.Prefixes[:s.pinnedBlocks])
	s.privateTokens, s.pinnedBlocks, s.prefillLeft, s.prefillChunk, s.decoding = 0, 0, 0, 0, false
}

func (e *Engine) enqueue(s *sequence) {
	i, _ := slices.BinarySearchFunc(e.waiting, s, func(w, s *sequence) int {
		if w.Priority != s.Priority {
			return int(min(max(s.Priority-w.Priority, -1), 1))
		}
		return int(w.arrivalNumber - s.arrivalNumber)
	})
	e.waiting = slices.Insert(e.waiting, i, s)
}

func (e *Engine) emit(event Event) {
	event.At = e.stepEnd
	e.events = append(e.events, event)
}

func (e *Engine) emitRemovedBlocks(at time.Time) {
	if len(e.cache.evicted) > 0 {
		e.events = append(e.events, Event{Kind: Removed, At: at, Blocks: e.cache.evicted})
		e.cache.evicted = nil
	}
}
