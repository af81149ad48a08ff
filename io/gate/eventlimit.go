package gate

import (
	"errors"
	"time"
)

const (
	// spareEvents is the number of events beyond one for each output token that a stream may have.
	spareEvents = 64
	// maxUnsizedEvents bounds the events of a stream whose caller sent no maximum number of output tokens.
	maxUnsizedEvents = 1 << 16
	// maxHeldBytes bounds the events that are held back while a stream is to be resumed elsewhere; no more are read then.
	maxHeldBytes = 128 << 10
)

var errTooManyEvents = errors.New("the endpoint's stream has more events than the maximum output of the call allows")

// maxEvents returns the number of events that the stream may have. An event has one token or more.
func (s *stream) maxEvents() int {
	if s.MaxTokens <= 0 || s.MaxTokens > maxUnsizedEvents {
		return maxUnsizedEvents
	}
	return int(s.MaxTokens) + spareEvents
}

// checkEventCount reports whether one more event from the current upstream is within the limit of the stream. If not, it
// ends the upstream, and also the stream if the caller has that many events already.
func (s *stream) checkEventCount() bool {
	s.current.eventsRead++
	limit := s.maxEvents()
	if s.eventsSent >= limit {
		s.g.Loads.RecordOutcome(time.Now(), s.current.endpoint.ID, true)
		s.abort(errTooManyEvents)
		return false
	}
	if s.current.eventsRead > limit {
		s.onUpstreamFailed(s.current, errTooManyEvents)
		return false
	}
	return true
}

// hold keeps an event back; the next upstream sends it again, and if that one fails it is delivered from here.
func (s *stream) hold(e streamEvent) {
	s.heldEvents = append(s.heldEvents, e)
	s.heldBytes += len(e.bytes)
}

// takeHeld returns the events that were held back and holds none from then on.
func (s *stream) takeHeld() []streamEvent {
	held := s.heldEvents
	s.heldEvents, s.heldBytes = nil, 0
	return held
}

// nextEvents returns the channel to receive the next event from, or nil if none is to be received now.
func (s *stream) nextEvents() <-chan streamEvent {
	if s.current == nil || s.heldBytes >= maxHeldBytes {
		return nil
	}
	return s.current.events
}
