package gate

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"snipeshed/core"
)

// onEvent takes an event or the end of the current leg.
func (s *stream) onEvent(e streamEvent) {
	switch {
	case errors.Is(e.err, io.EOF) && s.move.stopped:
		s.whole = true
	case errors.Is(e.err, io.EOF):
		s.complete()
	case e.err != nil:
		s.broken(s.current, e.err)
	case s.pending != nil || s.move.stopped:
		s.held = append(s.held, e) // the other leg sends it again, unless it fails
	default:
		s.deliver(e)
	}
}

// deliver passes an event on, unless the caller has it.
func (s *stream) deliver(e streamEvent) {
	if s.delivered(e.id) {
		return
	}
	now := time.Now()
	s.current.begun()
	if s.events == 0 {
		s.firstAt = now
		s.g.Meter.First(s.service.Name, now.Sub(s.start))
		s.w.WriteHeader(http.StatusOK)
	} else {
		s.paused(now.Sub(s.lastAt))
	}
	if _, err := s.w.Write(e.bytes); err != nil {
		s.ended(err)
		return
	}
	if err := s.rc.Flush(); err != nil {
		s.ended(err)
		return
	}
	s.events++
	s.lastAt = now
	if e.id != "" {
		s.last = e.id
	}
	if s.movable() && s.events%growthEvents == 0 {
		s.grow()
	}
	if !s.rule.Resumable {
		s.silentAt = now.Add(silence)
	}
	s.arm()
}

const (
	// growthEvents is the number of events after which the memory of a generation is compared with its forecast.
	growthEvents = 8
	// growthAhead is the time for which a generation's growth is counted ahead, some times as long as other instances take
	// to hear of it.
	growthAhead = 2 * time.Second
)

// grow counts more memory for a generation that has outgrown its forecast, so that its engine is not filled until others
// lose their place in the middle of their streams.
func (s *stream) grow() {
	made := core.Tokens(s.events * s.service.Engine.EventTokens)
	ahead := made
	if age := time.Since(s.firstAt); age > growthAhead {
		ahead = core.Tokens(float64(made) * float64(growthAhead) / float64(age))
	}
	size := s.PromptTokens + made + ahead
	if s.MaxTokens > 0 {
		size = min(size, s.PromptTokens+s.MaxTokens)
	}
	if size <= s.memory {
		return
	}
	for _, l := range []*leg{s.current, s.pending} {
		if l != nil {
			l.grow(size - s.memory)
		}
	}
	s.memory = size
}

func (s *stream) paused(d time.Duration) {
	s.g.Meter.Pause(s.service.Name, d)
	if d > s.longest {
		s.longest, s.pausedAt = d, s.events
	}
}

// delivered reports whether the caller has an event already; ids increase.
func (s *stream) delivered(id string) bool {
	n, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return false
	}
	last, err := strconv.ParseInt(s.last, 10, 64)
	return err == nil && n <= last
}
