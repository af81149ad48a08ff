package gate

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"snipeshed/core"
)

// onEvent handles an event from the current upstream, or the end of its stream.
func (s *stream) onEvent(e streamEvent) {
	switch {
	case errors.Is(e.err, io.EOF) && s.migration.stopped:
		s.sawEOF = true
	case errors.Is(e.err, io.EOF) && s.endsBeforeEvents():
		s.onUpstreamFailed(s.current, errNoEvents)
	case errors.Is(e.err, io.EOF) && s.endedWithEngine():
		s.onUpstreamFailed(s.current, errProcessEnded)
	case errors.Is(e.err, io.EOF):
		s.complete()
	case e.err != nil:
		s.onUpstreamFailed(s.current, e.err)
	case !s.checkEventCount():
	case s.current.continues && e.id == "" && e.hasData():
		s.onUpstreamFailed(s.current, errNoPosition)
	case s.pending != nil || s.migration.stopped:
		s.hold(e)
	default:
		s.deliver(e)
	}
}

var (
	errNoEvents   = errors.New("the endpoint's answer has neither a length nor an event")
	errNoPosition = errors.New("an event of the engine that continues the stream has no id, so it may repeat an earlier one")
)

// endsBeforeEvents reports whether the current upstream ended without an event and without a length that says that it has none.
// The connection may have broken right after the head then.
func (s *stream) endsBeforeEvents() bool {
	return s.current.eventsRead == 0 && !isFramed(s.current.answer)
}

// endedWithEngine reports whether the current upstream ended because the process of its engine has ended.
func (s *stream) endedWithEngine() bool {
	return s.endedWithProcess(s.current.answer, s.current.endpoint)
}

// deliver writes an event to the caller, unless the caller already has it.
func (s *stream) deliver(e streamEvent) {
	if s.alreadyDelivered(e.id) {
		return
	}
	now := time.Now()
	s.current.onFirstEvent(e)
	if s.eventsSent == 0 {
		s.firstEventAt = now
		s.g.Meter.RecordFirstEvent(s.service.Name, now.Sub(s.start))
		s.writeHead()
	} else {
		s.recordPause(now.Sub(s.lastEventAt))
	}
	if _, err := s.w.Write(e.bytes); err != nil {
		s.endEarly(err)
		return
	}
	if err := s.rc.Flush(); err != nil {
		s.endEarly(err)
		return
	}
	s.eventsSent++
	s.lastEventAt = now
	if s.eventsSent == clearingEvents {
		s.clearParts(false)
	}
	if e.id != "" {
		s.lastEventID = e.id
	}
	s.lacksID = e.id == "" && (s.lacksID || e.hasData())
	if s.movable() && s.eventsSent%growthCheckEvents == 0 {
		s.growMemory()
	}
	if e.hasData() { // a comment keeps the connection open, but shows no progress
		s.silenceDeadline = now.Add(silenceTimeout)
	}
	s.resetTimer()
}

// writeHead writes the head of the response, with the headers of the engine's answer. Until then the response has no header of
// an engine, since it may still become an error of the gate's own.
func (s *stream) writeHead() {
	h := s.w.Header()
	copyHeader(h, s.answerHeader)
	h.Del("Content-Length")
	s.w.WriteHeader(http.StatusOK)
}

const (
	// growthCheckEvents is the number of events between two comparisons of a generation's memory with its forecast.
	growthCheckEvents = 8
	// growthLookahead is the time for which the further growth of a generation is counted in advance. It is several times the
	// delay after which other instances receive the new count.
	growthLookahead = 2 * time.Second
)

// growMemory raises the counted memory of a generation that has outgrown its forecast. Otherwise the engine would be
// overfilled and evict other generations in the middle of their streams.
func (s *stream) growMemory() {
	generated := core.Tokens(s.eventsSent * s.service.Engine.EventTokens)
	ahead := generated
	if age := time.Since(s.firstEventAt); age > growthLookahead {
		ahead = core.Tokens(float64(generated) * float64(growthLookahead) / float64(age))
	}
	size := s.PromptTokens + generated + ahead
	if s.MaxTokens > 0 {
		size = min(size, s.PromptTokens+s.MaxTokens)
	}
	if size <= s.countedMemory {
		return
	}
	for _, up := range []*upstream{s.current, s.pending} {
		if up != nil {
			up.addMemory(size - s.countedMemory)
		}
	}
	s.countedMemory = size
}

func (s *stream) recordPause(d time.Duration) {
	s.g.Meter.RecordPause(s.service.Name, d)
	if d > s.longestPause {
		s.longestPause, s.longestPauseAfter = d, s.eventsSent
	}
}

// alreadyDelivered reports whether the caller already has the event with this id. Ids are increasing numbers.
func (s *stream) alreadyDelivered(id string) bool {
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return false
	}
	last, err := strconv.ParseInt(s.lastEventID, 10, 64)
	return err == nil && n <= last
}
