package follow

import (
	"context"
	"errors"
	"time"

	"snipeshed/core"
)

// probe asks the engine for the generation's status after a silence, and closes the stream if its connection is dead.
func (f *Follow) probe() {
	q, due := f.probeState()
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
	if f.silentSince != q.silentSince || !f.waiting {
		return
	}
	if counter := f.closeReason(q, st, err); counter != "" {
		f.counters.Count(counter)
		_ = q.stream.Close() // makes the reader's Next return
	}
}

// probeSnapshot is the state of a Follow at the time of a probe.
type probeSnapshot struct {
	generation  core.GenerationID
	stream      core.Stream
	silentSince time.Time
	silentFor   time.Duration
}

// probeState reports whether a probe is due and returns the state for it. If none is due, it resets the timer, or closes
// the stream of an engine that has not named its generation within giveUp.
func (f *Follow) probeState() (probeSnapshot, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	q := probeSnapshot{generation: f.generation, stream: f.stream, silentSince: f.silentSince, silentFor: time.Since(f.silentSince)}
	switch {
	case f.closed:
	case q.generation == "" && q.silentFor >= f.giveUp:
		_ = f.stream.Close() // without an id, the engine cannot be asked for the status
	case !f.waiting:
		f.timer.Reset(f.silence)
	case q.silentFor < f.silence || q.generation == "":
		f.timer.Reset(max(f.silence-q.silentFor, firstBackoff))
	default:
		return q, true
	}
	return q, false
}

// closeReason returns the name of the counter for the reason to close the stream, or "" to keep it. The caller holds f.mu.
func (f *Follow) closeReason(q probeSnapshot, st core.GenerationStatus, err error) string {
	switch {
	case f.notStarted:
		return "generations_not_started"
	case err != nil && !errors.Is(err, core.ErrUnknownGeneration):
		if f.failedProbes++; f.failedProbes < maxFailedProbes {
			return ""
		}
	case err == nil && st.Tokens <= f.next && !st.Done:
		f.failedProbes = 0
		if f.confirmed || q.silentFor < startTimeout {
			return "" // the engine is slow, the connection is not dead
		}
		f.notStarted = true
		return "generations_not_started"
	}
	return "silent_connections"
}
