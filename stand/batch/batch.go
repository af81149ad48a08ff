package batch

import (
	"fmt"
	"slices"
	"time"

	"snipeshed/core"
)

// Request describes a sequence; its output length is hidden from whoever schedules in front of the engine.
type Request struct {
	ID           core.GenerationID
	PromptTokens core.Tokens
	// Prefixes are the prompt's block hashes, see Prefixes; without them the prompt is not cached.
	Prefixes []uint64
	// OutputTokens is the output length; 0 derives it from Seed.
	OutputTokens core.Tokens
	// MaxTokens cuts the output off; 0 means no limit.
	MaxTokens core.Tokens
	Seed      int64
	// Priority orders the sequences; the highest runs first and is preempted last.
	Priority int64
}

// Batch is one simulated engine; it is not safe for concurrent use.
type Batch struct {
	cfg     Config
	cache   *cache
	seqs    map[core.GenerationID]*sequence
	running []*sequence // in order of admission
	waiting []*sequence // the highest priority first, then in order of arrival
	private core.Tokens // memory of sequences outside the cache
	busy    bool
	ready   time.Time // when the next step may start, while not busy
	end     time.Time // when the step ends, while busy
	events  []Event
	load    Load
	arrived int64
}

type sequence struct {
	Request
	arrival   int64
	output    core.Tokens
	reason    string
	generated core.Tokens
	started   bool
	private   core.Tokens
	pinned    int         // leading blocks held in the cache
	pending   core.Tokens // prompt tokens still to compute
	chunk     core.Tokens // prompt tokens computed by the current step
	decoding  bool        // whether the current step decodes a token
}

// New returns an idle engine.
func New(cfg Config) *Batch {
	cfg = cfg.withDefaults()
	return &Batch{cfg: cfg, cache: newCache(cfg), seqs: map[core.GenerationID]*sequence{}}
}

// Config returns the settings with defaults filled in.
func (b *Batch) Config() Config { return b.cfg }

// Add queues a sequence; it fails for a repeated id, an empty prompt or a prompt that exceeds the memory.
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
	// The last prompt token is always computed, because the first output token follows from it.
	if most := int((r.PromptTokens - 1) / b.cfg.BlockTokens); len(r.Prefixes) > most {
		r.Prefixes = r.Prefixes[:most]
	}
	b.arrived++
	s := &sequence{Request: r, arrival: b.arrived, output: r.OutputTokens, reason: ReasonStop}
	if s.output <= 0 {
		s.output = SeedOutput(r.Seed)
	}
	if r.MaxTokens > 0 && s.output > r.MaxTokens {
		s.output, s.reason = r.MaxTokens, ReasonLength
	}
	if !b.busy && len(b.seqs) == 0 {
		b.ready = now
	}
	b.seqs[r.ID] = s
	b.enqueue(s)
	return nil
}

// Cancel removes a sequence and frees its memory; it reports whether the sequence existed.
func (b *Batch) Cancel(id core.GenerationID) bool {
	s := b.seqs[id]
	if s == nil {
		return false
	}
	b.remove(s)
	return true
}

// Next returns when Step has to be called next, or false while there is no work.
func (b *Batch) Next() (time.Time, bool) {
	if b.busy {
		return b.end, true
	}
	return b.ready, len(b.seqs) > 0
}

// Step runs the engine up to now and returns what happened since the last call, in order.
func (b *Batch) Step(now time.Time) []Event {
	for b.busy || b.begin() {
		if b.end.After(now) {
			break
		}
		b.finish()
	}
	out := b.events
	b.events = nil
	return out
}

// Load returns the engine's exact load.
func (b *Batch) Load() Load {
	l := b.load
	l.KVUsed = b.private + b.cache.pinnedTokens()
	l.KVCapacity = b.cfg.KVCapacity
	l.Cached = b.cache.idleTokens()
	l.Running, l.Waiting = len(b.running), len(b.waiting)
	return l
}

// begin schedules a step at b.ready and reports whether there is work.
func (b *Batch) begin() bool {
	if len(b.seqs) == 0 {
		return false
	}
	preempted := b.load.Preemptions
	// Admission needs a free token in the step, so decodes never exceed the step's tokens.
	budget := b.cfg.MaxStepTokens - core.Tokens(b.scheduleDecodes())
	for _, s := range b.running {
		s.chunk = min(s.pending, budget)
		budget -= s.chunk
	}
	// Admission right after a preemption would take back the memory that was just freed.
	if b.load.Preemptions == preempted {
		for len(b.waiting) > 0 && budget > 0 && b.admit(b.waiting[0]) {
			s := b.running[len(b.running)-1]
			s.chunk = min(s.pending, budget)
			budget -= s.chunk
		}
	}
	decoded, prompt := 0, core.Tokens(0)
	for _, s := range b.running {
		prompt += s.chunk
		if s.decoding {
			decoded++
		}
	}
	if decoded == 0 && prompt == 0 {
		// Every running sequence ended or was preempted; the next step admits again.
		return len(b.seqs) > 0 && b.begin()
	}
	b.busy = true
	b.end = b.ready.Add(b.cfg.StepBase + time.Duration(decoded)*b.cfg.StepPerSequence + time.Duration(prompt)*b.cfg.StepPerPromptToken)
	b.flushRemoved(b.ready)
	return true
}

// scheduleDecodes reserves memory for one token of each running sequence, preempting the least urgent when it runs out.
func (b *Batch) scheduleDecodes() int {
	for i := 0; i < len(b.running); i++ {
		s := b.running[i]
		if s.pending > 0 {
			continue
		}
		if b.reserve(1) {
			s.private++
			s.decoding = true
			continue
		}
		if len(b.running) == 1 {
			b.end = b.ready
			b.complete(s, ReasonLength)
			break
		}
		v := b.leastUrgent()
		if slices.Index(b.running, v) <= i {
			i--
		}
		if v != s {
			i--
		}
		b.preempt(v)
	}
	n := 0
	for _, s := range b.running {
		if s.decoding {
			n++
		}
	}
	return n
}

// finish ends the current step and emits its tokens.
func (b *Batch) finish() {
	b.busy = false
	b.ready = b.end
	for _, s := range slices.Clone(b.running) {
		first := s.chunk > 0 && s.chunk == s.pending
		s.pending -= s.chunk
		s.chunk = 0
		if first {
			b.share(s)
		}
		if !first && !s.decoding {
			continue
		}
		s.decoding = false
		b.emit(Event{Kind: Token, ID: s.ID, Index: s.generated})
		s.generated++
		b.load.Generated++
		if s.generated >= s.output {
			b.complete(s, s.reason)
		}
	}
	b.flushRemoved(b.end)
}

// admit moves a waiting sequence into the running set if its memory and a place are free.
func (b *Batch) admit(s *sequence) bool {
	spare := core.Tokens(0)
	if len(b.running) > 0 {
		spare = b.cfg.KVCapacity * core.Tokens(max(b.cfg.WatermarkPercent, 0)) / 100
	}
	found, need := b.demand(s)
	for b.cfg.PreemptForUrgent && !b.fits(need+spare) && b.preemptFor(s, need+spare) {
		// Preemption unpins blocks, which changes the demand.
		found, need = b.demand(s)
	}
	if !b.fits(need + spare) {
		return false
	}
	for _, h := range s.Prefixes[:found] {
		b.cache.pin(h)
	}
	s.pinned = found
	s.pending = s.PromptTokens + s.generated - core.Tokens(found)*b.cfg.BlockTokens
	b.reserve(s.pending)
	s.private = s.pending
	b.waiting = b.waiting[1:]
	b.running = append(b.running, s)
	if !s.started {
		s.started = true
		b.events = append(b.events, Event{Kind: Started, At: b.ready, ID: s.ID, Cached: core.Tokens(found) * b.cfg.BlockTokens})
	} else {
		b.load.Recomputed += s.pending
	}
	return true
}

// demand returns the blocks of s that are cached, and the memory that is missing for s.
func (b *Batch) demand(s *sequence) (found int, need core.Tokens) {
	found, idle := b.cache.match(s.Prefixes)
	// Idle blocks of this prompt become pinned, so they cannot be evicted for it.
	return found, s.PromptTokens + s.generated - core.Tokens(found-idle)*b.cfg.BlockTokens
}

func (b *Batch) fits(need core.Tokens) bool {
	return len(b.running) < b.cfg.MaxRunning && b.private+b.cache.pinnedTokens()+need <= b.cfg.KVCapacity
}

// preemptFor preempts the least urgent sequence if that and further preemptions can make room for s.
func (b *Batch) preemptFor(s *sequence, need core.Tokens) bool {
	room := b.cfg.KVCapacity - b.private - b.cache.pinnedTokens()
	for _, r := range b.running {
		if r.Priority < s.Priority {
			room += r.private + core.Tokens(r.pinned)*b.cfg.BlockTokens
		}
	}
	v := b.leastUrgent()
	if v == nil || v.Priority >= s.Priority || room < need {
		return false
	}
	b.preempt(v)
	return true
}

// reserve takes memory for n tokens, evicting idle cached blocks, and reports whether it could.
func (b *Batch) reserve(n core.Tokens) bool {
	if b.private+b.cache.pinnedTokens()+n > b.cfg.KVCapacity {
		return false
	}
	b.private += n
	for b.private+b.cache.pinnedTokens()+b.cache.idleTokens() > b.cfg.KVCapacity {
		b.cache.evict()
	}
	return true
}

// share moves the computed blocks of a prompt into the cache.
func (b *Batch) share(s *sequence) {
	var stored []uint64
	for _, h := range s.Prefixes[s.pinned:] {
		if b.cache.pin(h) {
			stored = append(stored, h)
		}
		s.private -= b.cfg.BlockTokens
		b.private -= b.cfg.BlockTokens
	}
	s.pinned = len(s.Prefixes)
	if len(stored) > 0 {
		b.emit(Event{Kind: Stored, Blocks: stored})
	}
}

func (b *Batch) leastUrgent() *sequence {
	var v *sequence
	for _, s := range b.running {
		if v == nil || s.Priority < v.Priority || (s.Priority == v.Priority && s.arrival > v.arrival) {
			v = s
		}
	}
	return v
}

func (b *Batch) preempt(s *sequence) {
	b.release(s)
	b.load.Preemptions++
	b.enqueue(s)
	b.events = append(b.events, Event{Kind: Preempted, At: b.ready, ID: s.ID, Index: s.generated})
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

// release takes a sequence out of the running set and frees its memory.
func (b *Batch) release(s *sequence) {
	b.running = slices.DeleteFunc(b.running, func(r *sequence) bool { return r == s })
	b.private -= s.private
	b.cache.unpin(s.Prefixes[:s.pinned])
	s.private, s.pinned, s.pending, s.chunk, s.decoding = 0, 0, 0, 0, false
}

func (b *Batch) enqueue(s *sequence) {
	i, _ := slices.BinarySearchFunc(b.waiting, s, func(w, s *sequence) int {
		if w.Priority != s.Priority {
			return int(min(max(s.Priority-w.Priority, -1), 1))
		}
		return int(w.arrival - s.arrival)
	})
	b.waiting = slices.Insert(b.waiting, i, s)
}

func (b *Batch) emit(e Event) {
	e.At = b.end
	b.events = append(b.events, e)
}

func (b *Batch) flushRemoved(at time.Time) {
	if len(b.cache.removed) > 0 {
		b.events = append(b.events, Event{Kind: Removed, At: at, Blocks: b.cache.removed})
		b.cache.removed = nil
	}
}
