package gate

import (
	"errors"
	"time"
)

const (
	// silenceTimeout is the time without data after which a stream that has begun is resumed at another engine, where it can be.
	silenceTimeout = 700 * time.Millisecond
	// firstEventTimeoutShare is the share of the latency objective after which a resumable stream without an event is sent to
	// another engine, unless its engine is still expected to be in prefill.
	firstEventTimeoutShare = 0.65
	// prefillMarginFactor and prefillMarginSlack turn the expected prefill time into an upper bound: the factor is applied
	// first, then the slack is added.
	prefillMarginFactor = 1.3
	prefillMarginSlack  = 100 * time.Millisecond
	// silenceRetryInterval is the time between two searches for an endpoint to replace a silent one.
	silenceRetryInterval = 100 * time.Millisecond
	// ownPauseThreshold is the delay of a timer above which this instance itself was paused, so that what its endpoints sent
	// meanwhile is not read yet.
	ownPauseThreshold = 150 * time.Millisecond
	// afterPauseGrace is the time to read it.
	afterPauseGrace = 150 * time.Millisecond
)

// wasPaused reports whether this instance was paused, or had no processor time, when a timer was due.
func wasPaused(due, now time.Time) bool { return now.Sub(due) > ownPauseThreshold }

// prefillDeadline returns the time by which the pending engine should have finished the prefill of all its calls, not only of
// this one, since it may process a later prompt first. The wait is at most the latency objective; longer waits gain nothing.
func (s *stream) prefillDeadline(now time.Time) time.Time {
	prefill := withPrefillMargin(s.g.Selector.PrefillDelay(now, s.pending.endpoint.ID))
	return s.sentAt.Add(min(prefill, s.route.Objective))
}

// withPrefillMargin returns a time within which a prefill nearly always ends, given its expected time.
func withPrefillMargin(expected time.Duration) time.Duration {
	return time.Duration(prefillMarginFactor*float64(expected)) + prefillMarginSlack
}

// onSilence treats an endpoint that sends nothing as failed, if the stream can continue elsewhere.
func (s *stream) onSilence() {
	switch {
	case s.eventsSent == 0 && s.route.Resumable && s.pending != nil && s.migration.inactive():
		now := time.Now()
		switch until := s.prefillDeadline(now); {
		case now.Before(until):
			s.silenceDeadline = until
		case !s.mayTryAnotherEngine(now):
			s.silenceDeadline = now.Add(silenceRetryInterval)
		default:
			s.onUpstreamFailed(s.pending, errSilent)
		}
	case s.eventsSent > 0 && s.current != nil && s.pending == nil && !s.migration.stopped:
		s.resumeSilent()
	}
}

// resumeSilent resumes a stream whose engine sends no data at another engine: from its backup, or, if the call may run twice,
// from the caller's last event. While no engine takes it, the silent one may still go on. It is first told to stop, since an engine
// that is only slow also learns late that its connection was closed.
func (s *stream) resumeSilent() {
	now := time.Now()
	switch b := s.current.backup; {
	case b != nil && s.g.backsOff(b.ID):
		s.silenceDeadline = now.Add(silenceRetryInterval)
	case b != nil && s.migration.inactive():
		s.recordLoss(s.current)
		s.failOverToBackup(s.current, *b)
	case b != nil:
		s.resumeFromBackup()
	case !s.route.Resumable || s.lacksID || s.failedAttempts+1 >= s.route.MaxAttempts:
	case !s.mayTryAnotherEngine(now):
		s.silenceDeadline = now.Add(silenceRetryInterval)
	default:
		s.onUpstreamFailed(s.current, errSilent)
	}
}

// mayTryAnotherEngine reports whether another engine with room may be tried. Without one, the silent engine is still the most
// likely to answer.
func (s *stream) mayTryAnotherEngine(now time.Time) bool {
	d := s.demand()
	e := s.g.Selector.ChooseEndpoint(now, s.service, s.endpoints(), d, s.tried)
	return e != nil && s.g.Selector.HasRoom(now, s.service, e, d) && s.g.Retries.CanRetry(now, s.service.Name, s.g.FleetSize())
}

var errSilent = errors.New("the endpoint sent no data within the expected time")
