package follow

import (
	"context"
	"errors"
	"time"

	"snipeshed/core"
)

// probe asks the engine after a silence and closes the connection if it proves dead.
func (f *Follow) probe() {
	q, due := f.question()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), f.silence)
	st, err := f.runner.Status(ctx, q.generation)
	cancel()

	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed || f.stream != q.stream {
		return
	}
	f.timer.Reset(f.silence)
	if f.heard != q.heard || !f.waiting {
		return
	}
	if counter := f.judge(q, st, err); counter != "" {
		f.counters.Count(counter)
		_ = q.stream.Close() // makes the reader's Next return
	}
}

// question is what the engine is asked, and what was known when it was asked.
type question struct {
	generation core.GenerationID
	stream     core.Stream
	heard      time.Time
	quiet      time.Duration
}

// question returns what to ask now; when nothing is due it sets the timer or ends the stream.
func (f *Follow) question() (question, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	q := question{generation: f.generation, stream: f.stream, heard: f.heard, quiet: time.Since(f.heard)}
	switch {
	case f.closed:
	case q.generation == "" && q.quiet >= f.giveUp:
		_ = f.stream.Close() // an engine that never names its generation cannot be asked about it
	case !f.waiting:
		f.timer.Reset(f.silence)
	case q.quiet < f.silence || q.generation == "":
		f.timer.Reset(max(f.silence-q.quiet, firstBackoff))
	default:
		return q, true
	}
	return q, false
}

// judge returns the counter of the reason for which the stream must end, or "" when it may go on; f.mu is held.
func (f *Follow) judge(q question, st core.GenerationStatus, err error) string {
	switch {
	case f.notStarted:
		return "generations_not_started"
	case err != nil && !errors.Is(err, core.ErrGone):
		if f.failures++; f.failures < maxFailedProbes {
			return ""
		}
	case err == nil && st.Tokens <= f.next && !st.Done:
		f.failures = 0
		if f.confirmed || q.quiet < startLimit {
			return "" // the engine is slow
		}
		f.notStarted = true
		return "generations_not_started"
	}
	return "silent_connections"
}
