package follow

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"snipeshed/core"
)

// Reader delivers each token of one generation once and in order.
//
// After a broken connection it resumes on the same engine from the next token. After a silence it asks the engine over a
// new connection for the number of tokens generated so far; the old connection counts as dead only if the engine is ahead,
// no longer has the generation or repeatedly fails to answer.
type Reader struct {
	core.Common
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

// Option configures a Reader.
type Option func(*Reader)

// WithSilence sets the silence after which the engine is probed.
func WithSilence(d time.Duration) Option { return func(r *Reader) { r.silence = d } }

// WithGiveUp sets how long the engine may be unreachable before the generation counts as lost.
func WithGiveUp(d time.Duration) Option { return func(r *Reader) { r.giveUp = d } }

// WithCounters sets the counters of dropped events and resumes.
func WithCounters(c Counters) Option { return func(r *Reader) { r.counters = c } }

// WithCommon sets the logger for panics in probes.
func WithCommon(c core.Common) Option { return func(r *Reader) { r.Common = c } }

// WithFlush sets a function that flushes the receiver's buffer. It is called when the last returned event had More set but the
// next one does not follow at once.
func WithFlush(fn func()) Option { return func(r *Reader) { r.flush = fn } }

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

// New returns a Reader that reads an open stream from token from on; generation is empty if the stream's first line will
// name it.
func New(runner core.Runner, stream core.Stream, request core.RequestID, generation core.GenerationID, from core.Tokens, opts ...Option) *Reader {
	r := &Reader{
		Common: core.NewCommon(logrus.NewEntry(logrus.StandardLogger())),
		runner: runner, stream: stream, request: request, generation: generation, confirmed: generation != "", next: from,
		silence: defaultSilence, giveUp: defaultGiveUp, counters: noCounters{}, flush: func() {},
	}
	for _, o := range opts {
		o(r)
	}
	r.silentSince = time.Now()
	r.timer = time.AfterFunc(r.silence, r.probe)
	return r
}

type noCounters struct{}

// Count does nothing.
func (noCounters) Count(string) {}

// Generation returns the generation's id, or "" before it is known.
func (r *Reader) Generation() core.GenerationID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.generation
}

// Received returns the number of tokens received since the generation's start, which is also the index of the next token.
func (r *Reader) Received() core.Tokens {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.next
}

// errWrongStream means that a stream belongs to another request or generation.
var errWrongStream = errors.New("stream belongs to another request or generation")

// Next returns the next event; the one with Done is the last.
func (r *Reader) Next(ctx context.Context) (core.Event, error) {
	r.markWaiting()
	for {
		ev, err := r.currentStream().Next()
		if err == nil {
			deliver, streamErr := r.receiveEvent(ev)
			if streamErr == nil && deliver {
				r.rejectedSince = time.Time{}
				r.unflushed = ev.More
				return ev, nil
			}
			r.flushPending()
			if streamErr == nil {
				continue
			}
			if err = r.backOffRejected(ctx, streamErr); err != nil {
				return core.Event{}, err
			}
			err = streamErr
		}
		r.flushPending()
		if ctx.Err() != nil {
			return core.Event{}, ctx.Err()
		}
		if err := r.resume(ctx, err); err != nil {
			return core.Event{}, err
		}
	}
}

// flushPending makes the receiver flush the events returned so far if the last one had More set.
func (r *Reader) flushPending() {
	if r.unflushed {
		r.unflushed = false
		r.flush()
	}
}

// backOffRejected waits before the next resume after a stream was rejected, and fails once streams have been rejected for
// giveUp. Without it, an engine that answers each resume at once with another generation is asked 1,500 times a second
// until the call's deadline.
func (r *Reader) backOffRejected(ctx context.Context, cause error) error {
	if r.rejectedSince.IsZero() {
		r.rejectedSince, r.backoff = time.Now(), firstBackoff
		return nil
	}
	if time.Since(r.rejectedSince) > r.giveUp {
		return r.lostError(cause)
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(r.backoff):
	}
	r.backoff = min(2*r.backoff, maxBackoff)
	return nil
}

// checkEvent reports whether an event is to be delivered, and fails if the stream cannot be this generation's from the next
// token on.
func (r *Reader) checkEvent(ev core.Event) (bool, error) {
	if ev.GenerationID != "" || ev.RequestID != "" {
		if ev.RequestID != "" && ev.RequestID != r.request {
			r.counters.Count("crossed_answers")
			if !r.confirmed {
				r.generation = "" // the headers may have named another request's generation
			}
			return false, errWrongStream
		}
		if r.generation != "" && ev.GenerationID != r.generation {
			r.counters.Count("crossed_answers")
			return false, errWrongStream
		}
		r.confirmed = !ev.Accepted
		first := r.generation == ""
		r.generation = ev.GenerationID
		return first || ev.CachedTokens > 0, nil
	}
	if ev.Preempted || ev.Done {
		return true, r.checkEnd(ev)
	}
	switch {
	case ev.Index < r.next:
		r.counters.Count("duplicate_tokens")
		return false, nil
	case ev.Index > r.next:
		return false, fmt.Errorf("stream skips from token %d to %d", r.next, ev.Index)
	}
	r.next++
	return true, nil
}

func (r *Reader) checkEnd(ev core.Event) error {
	if ev.Done && ev.Tokens != r.next {
		return fmt.Errorf("stream ends at token %d of %d", r.next, ev.Tokens)
	}
	return nil
}

// resume reopens the stream from the next token, with retries until giveUp has passed.
func (r *Reader) resume(ctx context.Context, cause error) error {
	_ = r.currentStream().Close() // the stream has already failed
	if r.startTimedOut() {
		return r.cancelNotStarted(ctx)
	}
	if r.generation == "" {
		return &core.Error{
			Kind: core.KindStreamBroken, Message: "the engine's answer broke off before its first line",
			Remedy: "send the request again", Execution: core.ExecutionUnknown, Cause: cause,
		}
	}
	r.counters.Count("stream_resumes")
	backoff := firstBackoff
	deadline := time.Now().Add(r.giveUp)
	for {
		s, err := Open(ctx, r.silence, func(ctx context.Context) (core.Stream, error) {
			return r.runner.Resume(ctx, r.generation, r.next)
		})
		if err == nil {
			return r.setStream(s)
		}
		if errors.Is(err, core.ErrUnknownGeneration) || time.Now().After(deadline) {
			return r.lostError(err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (r *Reader) startTimedOut() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.notStarted
}

// cancelNotStarted cancels a generation that its engine accepted but did not start, so that the call can go to another
// engine. It always returns an error.
func (r *Reader) cancelNotStarted(ctx context.Context) error {
	cctx, cancel := context.WithTimeout(ctx, r.silence)
	defer cancel()
	return &core.Error{
		Kind: core.KindStreamBroken, Message: fmt.Sprintf("the engine did not start the generation within %s", startTimeout),
		Remedy: "send the request again", Execution: core.ExecutionUnknown, Cause: r.runner.Cancel(cctx, r.Generation()),
	}
}

func (r *Reader) lostError(cause error) error {
	return &core.Error{
		Kind: core.KindStreamBroken, Message: fmt.Sprintf("the generation was lost after %d tokens", r.next),
		Remedy: "send the request again to get a new generation", Execution: core.ExecutionUnknown,
		TokensDelivered: r.next, Cause: cause,
	}
}

func (r *Reader) currentStream() core.Stream {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stream
}

func (r *Reader) setStream(s core.Stream) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		_ = s.Close() // Close has been called
		return context.Canceled
	}
	r.stream = s
	r.failedProbes = 0
	r.silentSince = time.Now()
	r.timer.Reset(r.silence)
	return nil
}

// markWaiting records that Next waits for an event.
func (r *Reader) markWaiting() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiting, r.silentSince = true, time.Now()
}

// receiveEvent records the arrival of an event and returns the result of checkEvent for it.
//
// It does not reset the timer, which is reset only when it fires; this keeps the cost per token low.
func (r *Reader) receiveEvent(ev core.Event) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silentSince = time.Now()
	r.failedProbes = 0
	keep, err := r.checkEvent(ev)
	r.waiting = !keep || err != nil
	return keep, err
}

// Close stops reading; it does not cancel the generation.
func (r *Reader) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.timer.Stop()
	return r.stream.Close()
}
