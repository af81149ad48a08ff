package follow

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"snipeshed/core"
)

// Follow delivers each token of one generation once and in order.
//
// After a broken connection it resumes on the same engine from the next token.
// After a silence it asks the engine over a new connection how far the
// generation has come; only if the engine is ahead is the connection taken for dead.
type Follow struct {
	runner     core.Runner
	request    core.RequestID
	generation core.GenerationID
	next       core.Tokens
	silence    time.Duration
	giveUp     time.Duration
	counters   Counters
	flush      func()
	// more tells that the last event was returned with More, so that its receiver may not have flushed it.
	more bool
	// confirmed tells that a line of the stream has named the generation together with the request.
	confirmed bool
	// notStarted tells that the wait for the start of the generation was given up.
	notStarted bool

	// wrong is when the first of the streams in a row came that were not this generation's; backoff delays the next one.
	wrong   time.Time
	backoff time.Duration

	mu     sync.Mutex
	stream core.Stream
	timer  *time.Timer
	closed bool
	// waiting tells that the reader waits for an event; while its client takes none, silence says nothing of the connection.
	waiting bool
	// heard is when the last event came, or when the reader began to wait for it.
	heard time.Time
	// failures counts probes without an answer since the last event.
	failures int
}

// Counters receives the events that an operator watches.
type Counters interface {
	// Count adds one to a named counter.
	Count(name string)
}

// Option changes a Follow.
type Option func(*Follow)

// WithSilence sets the silence after which the engine is asked.
func WithSilence(d time.Duration) Option { return func(f *Follow) { f.silence = d } }

// WithGiveUp sets how long the engine may be unreachable before the generation counts as lost.
func WithGiveUp(d time.Duration) Option { return func(f *Follow) { f.giveUp = d } }

// WithCounters sets where dropped events and resumes are counted.
func WithCounters(c Counters) Option { return func(f *Follow) { f.counters = c } }

// WithFlush sets what is called when the event that More promised does not come at once.
func WithFlush(fn func()) Option { return func(f *Follow) { f.flush = fn } }

const (
	defaultSilence = time.Second
	defaultGiveUp  = 5 * time.Second
	// maxFailedProbes is the number of unanswered probes after which the engine counts as unreachable.
	maxFailedProbes = 3
	// startLimit bounds the wait for the start of a generation: an engine without free memory starts it when others end, a stuck
	// engine never.
	startLimit   = 15 * time.Second
	firstBackoff = 20 * time.Millisecond
	maxBackoff   = 500 * time.Millisecond
)

// New follows a generation whose stream is open; generation is empty when the stream's first line will tell it.
func New(runner core.Runner, stream core.Stream, request core.RequestID, generation core.GenerationID, from core.Tokens, opts ...Option) *Follow {
	f := &Follow{
		runner: runner, stream: stream, request: request, generation: generation, confirmed: generation != "", next: from,
		silence: defaultSilence, giveUp: defaultGiveUp, counters: noCounters{}, flush: func() {},
	}
	for _, o := range opts {
		o(f)
	}
	f.heard = time.Now()
	f.timer = time.AfterFunc(f.silence, f.probe)
	return f
}

type noCounters struct{}

// Count does nothing.
func (noCounters) Count(string) {}

// Generation returns the generation's id, or "" before the first line.
func (f *Follow) Generation() core.GenerationID {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.generation
}

// Received returns how many tokens have been delivered, counting from the generation's start.
func (f *Follow) Received() core.Tokens {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

// errCrossed means that a stream belongs to another request or generation.
var errCrossed = errors.New("stream belongs to another request or generation")

// Next returns the next event; after the one with Done there is none.
func (f *Follow) Next(ctx context.Context) (core.Event, error) {
	f.wait()
	for {
		ev, err := f.current().Next()
		if err == nil {
			keep, kerr := f.accept(ev)
			if kerr == nil && keep {
				f.wrong = time.Time{}
				f.more = ev.More
				return ev, nil
			}
			f.flushed()
			if kerr == nil {
				continue
			}
			if err = f.delay(ctx, kerr); err != nil {
				return core.Event{}, err
			}
			err = kerr
		}
		f.flushed()
		if ctx.Err() != nil {
			return core.Event{}, ctx.Err()
		}
		if err := f.resume(ctx, err); err != nil {
			return core.Event{}, err
		}
	}
}

// flushed makes the receiver flush what it was given.
func (f *Follow) flushed() {
	if f.more {
		f.more = false
		f.flush()
	}
}

// delay spaces the resumes after streams that are not this generation's, and gives up when they go on: an engine that
// answered each resume at once with another generation was asked 1,500 times a second until the call's deadline.
func (f *Follow) delay(ctx context.Context, cause error) error {
	if f.wrong.IsZero() {
		f.wrong, f.backoff = time.Now(), firstBackoff
		return nil
	}
	if time.Since(f.wrong) > f.giveUp {
		return f.broken(cause)
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(f.backoff):
	}
	f.backoff = min(2*f.backoff, maxBackoff)
	return nil
}

// check decides whether an event is the next one of this generation.
func (f *Follow) check(ev core.Event) (bool, error) {
	if ev.GenerationID != "" || ev.RequestID != "" {
		if ev.RequestID != "" && ev.RequestID != f.request {
			f.counters.Count("crossed_answers")
			if !f.confirmed {
				f.generation = "" // the headers named another request's generation
			}
			return false, errCrossed
		}
		if f.generation != "" && ev.GenerationID != f.generation {
			f.counters.Count("crossed_answers")
			return false, errCrossed
		}
		f.confirmed = !ev.Accepted
		first := f.generation == ""
		f.generation = ev.GenerationID
		return first || ev.CachedTokens > 0, nil
	}
	if ev.Preempted || ev.Done {
		return true, f.checkEnd(ev)
	}
	switch {
	case ev.Index < f.next:
		f.counters.Count("duplicate_tokens")
		return false, nil
	case ev.Index > f.next:
		return false, fmt.Errorf("stream skips from token %d to %d", f.next, ev.Index)
	}
	f.next++
	return true, nil
}

func (f *Follow) checkEnd(ev core.Event) error {
	if ev.Done && ev.Tokens != f.next {
		return fmt.Errorf("stream ends at token %d of %d", f.next, ev.Tokens)
	}
	return nil
}

// resume opens the stream again from the next token.
func (f *Follow) resume(ctx context.Context, cause error) error {
	_ = f.current().Close() // it already failed
	if f.givenUp() {
		return f.cancelNotStarted(ctx)
	}
	if f.generation == "" {
		return &core.Error{
			Kind: core.KindStreamBroken, Message: "the engine's answer broke before its first line",
			Remedy: "send the request again", Run: core.RunUnknown, Cause: cause,
		}
	}
	f.counters.Count("stream_resumes")
	backoff := firstBackoff
	deadline := time.Now().Add(f.giveUp)
	for {
		s, err := Open(ctx, f.silence, func(ctx context.Context) (core.Stream, error) {
			return f.runner.Resume(ctx, f.generation, f.next)
		})
		if err == nil {
			return f.replace(s)
		}
		if errors.Is(err, core.ErrGone) || time.Now().After(deadline) {
			return f.broken(err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (f *Follow) givenUp() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.notStarted
}

// cancelNotStarted ends a generation that its engine accepted but did not start, so that the call can go elsewhere.
func (f *Follow) cancelNotStarted(ctx context.Context) error {
	cctx, cancel := context.WithTimeout(ctx, f.silence)
	defer cancel()
	return &core.Error{
		Kind: core.KindStreamBroken, Message: fmt.Sprintf("the engine did not start the generation within %s", startLimit),
		Remedy: "send the request again", Run: core.RunUnknown, Cause: f.runner.Cancel(cctx, f.Generation()),
	}
}

func (f *Follow) broken(cause error) error {
	return &core.Error{
		Kind: core.KindStreamBroken, Message: fmt.Sprintf("the generation was lost after %d tokens", f.next),
		Remedy: "send the request again to get a new generation", Run: core.RunUnknown,
		TokensDelivered: f.next, Cause: cause,
	}
}

func (f *Follow) current() core.Stream {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stream
}

func (f *Follow) replace(s core.Stream) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		_ = s.Close() // nobody will read it
		return context.Canceled
	}
	f.stream = s
	f.failures = 0
	f.heard = time.Now()
	f.timer.Reset(f.silence)
	return nil
}

// wait notes that the reader waits for an event.
func (f *Follow) wait() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waiting, f.heard = true, time.Now()
}

// accept notes that an event came and decides whether it is the next one.
//
// The timer is only reset when it fires, which keeps the cost per token low.
func (f *Follow) accept(ev core.Event) (bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heard = time.Now()
	f.failures = 0
	keep, err := f.check(ev)
	f.waiting = !keep || err != nil
	return keep, err
}

// Close ends reading; it does not cancel the generation.
func (f *Follow) Close() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	f.timer.Stop()
	return f.stream.Close()
}
