package follow

import (
	"context"
	"errors"
	"time"

	"snipeshed/core"
)

// probe asks the engine for the generation's status after a silence, and closes the stream if its connection is dead.
func (r *Reader) probe() {
	q, due := r.probeState()
	if !due {
		return
	}
	st, err := r.status(q.generation)

	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.stream != q.stream {
		return
	}
	r.timer.Reset(r.silence)
	if r.silentSince != q.silentSince || !r.waiting {
		return
	}
	if counter := r.closeReason(q, st, err); counter != "" {
		r.counters.Count(counter)
		_ = q.stream.Close() // makes the reader's Next return
	}
}

// status asks the engine for the generation's status. A panic counts as an unanswered probe, since nothing recovers it in the
// goroutine of the timer.
func (r *Reader) status(generation core.GenerationID) (st core.GenerationStatus, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), r.silence)
	defer cancel()
	err = core.ErrPanicked
	r.Protect("asking for the status of generation "+string(generation), func() { st, err = r.runner.Status(ctx, generation) })
	return st, err
}

// probeSnapshot is the state of a Reader at the time of a probe.
type probeSnapshot struct {
	generation  core.GenerationID
	stream      core.Stream
	silentSince time.Time
	silentFor   time.Duration
}

// probeState reports whether a probe is due and returns the state for it. If none is due, it resets the timer, or closes
// the stream of an engine that has not named its generation within giveUp.
func (r *Reader) probeState() (probeSnapshot, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := probeSnapshot{generation: r.generation, stream: r.stream, silentSince: r.silentSince, silentFor: time.Since(r.silentSince)}
	switch {
	case r.closed:
	case q.generation == "" && q.silentFor >= r.giveUp:
		_ = r.stream.Close() // without an id, the engine cannot be asked for the status
	case !r.waiting:
		r.timer.Reset(r.silence)
	case q.silentFor < r.silence || q.generation == "":
		r.timer.Reset(max(r.silence-q.silentFor, firstBackoff))
	default:
		return q, true
	}
	return q, false
}

// closeReason returns the name of the counter for the reason to close the stream, or "" to keep it. The caller holds r.mu.
func (r *Reader) closeReason(q probeSnapshot, st core.GenerationStatus, err error) string {
	switch {
	case r.notStarted:
		return "generations_not_started"
	case err != nil && !errors.Is(err, core.ErrUnknownGeneration):
		if r.failedProbes++; r.failedProbes < maxFailedProbes {
			return ""
		}
	case err == nil && st.Tokens <= r.next && !st.Done:
		r.failedProbes = 0
		if r.confirmed || q.silentFor < startTimeout {
			return "" // the engine is slow, the connection is not dead
		}
		r.notStarted = true
		return "generations_not_started"
	}
	return "silent_connections"
}
