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
// After a broken connection it resumes on the same engine from the next token. After a silence it asks the engine over a
// new connection for the number of tokens generated so far; the old connection counts as dead only if the engine is ahead,
// no longer has the generation or repeatedly fails to answer.
type Follow struct {
	runner     core.Runner
	request    core.RequestID
	generation core.GenerationID
	next       core.Tokens
	silence    time.Duration
	giveUp     time.Duration
	counters   Counters
	flush      func()
	// unflushed is set while the last returned event had More set, so that the receiver may not have flushed it.
	unflushed bool
	// confirmed is set once a line of the stream, or the caller of New, has shown that the generation belongs to the request.
	confirmed bool
	// notStarted is set when the engine has not started the generation within startTimeout.
	notStarted bool

	// rejectedSince is when the first of the streams rejected in a row was rejected; it is zero after an accepted event.
	// backoff delays the next resume.
	rejectedSince time.Time
	backoff       time.Duration

	mu     sync.Mutex
	stream core.Stream
	timer  *time.Timer
	closed bool
	// waiting is set while Next waits for an event. At other times the client is slow to read, and silence does not indicate
	// a dead connection.
	waiting bool
	// silentSince is when the last event arrived or when Next last began to wait for one, whichever is later.
	silentSince time.Time
	// failedProbes is the number of unanswered probes since the last event.
	failedProbes int
}

// Counters counts events for the operator's metrics.
type Counters interface {
	// Count increments the named counter.
	Count(name string)
}

// Option configures a Follow.
type Option func(*Follow)

// WithSilence sets the silence after which the engine is probed.
func WithSilence(d time.Duration) Option { return func(f *Follow) { f.silence = d } }

// WithGiveUp sets how long the engine may be unreachable before the generation counts as lost.
func WithGiveUp(d time.Duration) Option { return func(f *Follow) { f.giveUp = d } }

// WithCounters sets the counters of dropped events and resumes.
func WithCounters(c Counters) Option { return func(f *Follow) { f.counters = c } }

// WithFlush sets a function that flushes the receiver's buffer. It is called when the last returned event had More set but the
// next one does not follow at once.
func WithFlush(fn func()) Option { return func(f *Follow) { f.flush = fn } }

const (
	defaultSilence = time.Second
	defaultGiveUp  = 5 * time.Second
	// maxFailedProbes is the number of unanswered probes after which the engine counts as unreachable.
	maxFailedProbes = 3
	// startTimeout bounds the wait for the start of a generation: an engine without free memory starts it when others end, but
	// a stuck engine never does.
	startTimeout = 15 * time.Second
	firstBackoff = 20 * time.Millisecond
	maxBackoff   = 500 * time.Millisecond
)

// New returns a Follow that reads an open stream from token from on; generation is empty if the stream's first line will
// name it.
func New(runner core.Runner, stream core.Stream, request core.RequestID, generation core.GenerationID, from core.Tokens, opts ...Option) *Follow {
	f := &Follow{
		runner: runner, stream: stream, request: request, generation: generation, confirmed: generation != "", next: from,
		silence: defaultSilence, giveUp: defaultGiveUp, counters: noCounters{}, flush: func() {},
	}
	for _, o := range opts {
		o(f)
	}
	f.silentSince = time.Now()
	f.timer = time.AfterFunc(f.silence, f.probe)
	return f
}

type noCounters struct{}

// Count does nothing.
func (noCounters) Count(string) {}

// Generation returns the generation's id, or "" before it is known.
func (f *Follow) Generation() core.GenerationID {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.generation
}

// Received returns the number of tokens received since the generation's start, which is also the index of the next token.
func (f *Follow) Received() core.Tokens {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

// errWrongStream means that a stream belongs to another request or generation.
var errWrongStream = errors.New("stream belongs to another request or generation")

// Next returns the next event; the one with Done is the last.
func (f *Follow) Next(ctx context.Context) (core.Event, error) {
	f.markWaiting()
	for {
		ev, err := f.currentStream().Next()
		if err == nil {
			deliver, streamErr := f.receiveEvent(ev)
			if streamErr == nil && deliver {
				f.rejectedSince = time.Time{}
				f.unflushed = ev.More
				return ev, nil
			}
			f.flushPending()
			if streamErr == nil {
				continue
			}
			if err = f.backOffRejected(ctx, streamErr); err != nil {
				return core.Event{}, err
			}
			err = streamErr
		}
		f.flushPending()
		if ctx.Err() != nil {
			return core.Event{}, ctx.Err()
		}
		if err := f.resume(ctx, err); err != nil {
			return core.Event{}, err
		}
	}
}

// flushPending makes the receiver flush the events returned so far if the last one had More set.
func (f *Follow) flushPending() {
	if f.unflushed {
		f.unflushed = false
		f.flush()
	}
}

// backOffRejected waits before the next resume after a stream was rejected, and fails once streams have been rejected for
// giveUp. Without it, an engine that answered each resume at once with another generation was asked 1,500 times a second
// until the call's deadline.
func (f *Follow) backOffRejected(ctx context.Context, cause error) error {
	if f.rejectedSince.IsZero() {
		f.rejectedSince, f.backoff = time.Now(), firstBackoff
		return nil
	}
	if time.Since(f.rejectedSince) > f.giveUp {
		return f.lostError(cause)
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(f.backoff):
	}
	f.backoff = min(2*f.backoff, maxBackoff)
	return nil
}

// checkEvent reports whether an event is to be delivered, and fails if the stream cannot be this generation's from the next
// token on.
func (f *Follow) checkEvent(ev core.Event) (bool, error) {
	if ev.GenerationID != "" || ev.RequestID != "" {
		if ev.RequestID != "" && ev.RequestID != f.request {
			f.counters.Count("crossed_answers")
			if !f.confirmed {
				f.generation = "" // the headers may have named another request's generation
			}
			return false, errWrongStream
		}
		if f.generation != "" && ev.GenerationID != f.generation {
			f.counters.Count("crossed_answers")
			return false, errWrongStream
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

// resume reopens the stream from the next token, with retries until giveUp has passed.
func (f *Follow) resume(ctx context.Context, cause error) error {
	_ = f.currentStream().Close() // the stream has already failed
	if f.startTimedOut() {
		return f.cancelNotStarted(ctx)
	}
	if f.generation == "" {
		return &core.Error{
			Kind: core.KindStreamBroken, Message: "the engine's answer broke off before its first line",
			Remedy: "send the request again", Execution: core.ExecutionUnknown, Cause: cause,
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
			return f.setStream(s)
		}
		if errors.Is(err, core.ErrUnknownGeneration) || time.Now().After(deadline) {
			return f.lostError(err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (f *Follow) startTimedOut() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.notStarted
}

// cancelNotStarted cancels a generation that its engine accepted but did not start, so that the call can go to another
// engine. It always returns an error.
func (f *Follow) cancelNotStarted(ctx context.Context) error {
	cctx, cancel := context.WithTimeout(ctx, f.silence)
	defer cancel()
	return &core.Error{
		Kind: core.KindStreamBroken, Message: fmt.Sprintf("the engine did not start the generation within %s", startTimeout),
		Remedy: "send the request again", Execution: core.ExecutionUnknown, Cause: f.runner.Cancel(cctx, f.Generation()),
	}
}

func (f *Follow) lostError(cause error) error {
	return &core.Error{
		Kind: core.KindStreamBroken, Message: fmt.Sprintf("the generation was lost after %d tokens", f.next),
		Remedy: "send the request again to get a new generation", Execution: core.ExecutionUnknown,
		TokensDelivered: f.next, Cause: cause,
	}
}

func (f *Follow) currentStream() core.Stream {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stream
}

func (f *Follow) setStream(s core.Stream) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		_ = s.Close() // Close has been called
		return context.Canceled
	}
	f.stream = s
	f.failedProbes = 0
	f.silentSince = time.Now()
	f.timer.Reset(f.silence)
	return nil
}

// markWaiting records that Next waits for an event.
func (f *Follow) markWaiting() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waiting, f.silentSince = true, time.Now()
}

// receiveEvent records the arrival of an event and returns the result of checkEvent for it.
//
// It does not reset the timer, which is reset only when it fires; this keeps the cost per token low.
func (f *Follow) receiveEvent(ev core.Event) (bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silentSince = time.Now()
	f.failedProbes = 0
	keep, err := f.checkEvent(ev)
	f.waiting = !keep || err != nil
	return keep, err
}

// Close stops reading; it does not cancel the generation.
func (f *Follow) Close() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	f.timer.Stop()
	return f.stream.Close()
}
