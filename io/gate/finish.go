package gate

import (
	"net/http"
	"time"

	"snipeshed/core"
	"snipeshed/io/event"
)

// complete finishes a stream that the endpoint has sent to its end.
func (s *stream) complete() {
	for _, e := range s.takeHeld() {
		s.deliver(e)
	}
	s.finished = true
	s.outcome = "answered"
	if s.eventsSent > 0 {
		s.clearParts(true)
	}
	if s.eventsSent == 0 {
		s.writeHead()
	}
	s.g.Loads.RecordOutcome(time.Now(), s.current.endpoint.ID, false)
	s.recordLength()
	if s.pending != nil { // it was to go on at another engine, which may have begun
		s.leave(s.pending.endpoint)
		s.stopLeft(s.current.endpoint)
	}
	s.current.close(true)
	s.g.Log.EmitRequest(event.Answered, s.ID, event.Fields{
		"endpoint": s.current.endpoint.ID, "events": s.eventsSent, "sends": s.sends, "route": s.route.Name,
		"rules": s.table.Version, "age_ms": s.ageMs(), "first_ms": s.firstEventAt.Sub(s.start).Milliseconds(),
		"pause_ms": s.longestPause.Milliseconds(), "pause_after": s.longestPauseAfter,
	})
}

// answerFailure responds to a call that no endpoint served. Once events were delivered, failure can only be signaled by
// aborting the connection.
func (s *stream) answerFailure(ans *bufferedAnswer, err error) {
	s.finished = true
	if s.eventsSent == 0 {
		s.call.answerFailure(ans, err)
		return
	}
	if err == nil {
		err = errNoOtherEndpoint
	}
	s.abort(err)
}

// recordLength adds the length of a complete generation to the statistics behind length forecasts.
func (s *stream) recordLength() {
	if s.service.Engine != nil && s.LastEventID == "" {
		s.g.Lengths.RecordLength(s.route.Name, core.Tokens(s.eventsSent*s.service.Engine.EventTokens))
	}
}

// abort ends a stream that cannot continue. It closes the caller's connection, so that the caller does not take the stream for
// complete.
func (s *stream) abort(cause error) {
	s.finished = true
	if s.eventsSent == 0 {
		s.fail(http.StatusBadGateway, cause)
		return
	}
	s.outcome = "cut"
	s.g.Log.EmitRequest(event.Cut, s.ID, event.Fields{
		"endpoint": s.sentTo, "events": s.eventsSent, "error": cause, "age_ms": s.ageMs(), "route": s.route.Name,
	})
	panic(http.ErrAbortHandler)
}

// endEarly ends a stream whose caller disconnected or whose deadline has passed.
func (s *stream) endEarly(writeErr error) {
	s.finished = true
	s.recordSilentLoss()
	switch {
	case s.r.Context().Err() != nil || writeErr != nil:
		s.abortCallerLeft("relaying the stream")
	case s.eventsSent > 0:
		s.abort(errDeadline)
	case s.current == nil && s.pending == nil && !s.mayHaveRun:
		s.refuseUnserved(reasonNoRoom, s.fullRetryAfter())
	default:
		s.fail(http.StatusGatewayTimeout, errDeadline)
	}
}
