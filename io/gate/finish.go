package gate

import (
	"net/http"
	"time"

	"snipeshed/core"
	"snipeshed/io/event"
)

// complete ends a stream that the endpoint has ended.
func (s *stream) complete() {
	for _, e := range s.held {
		s.deliver(e)
	}
	s.finished = true
	s.outcome = "answered"
	if s.events == 0 {
		s.w.WriteHeader(http.StatusOK)
	}
	s.g.Tally.End(time.Now(), s.current.endpoint.ID, false)
	s.learn()
	s.current.close(true)
	s.g.Log.Request(event.Answered, s.ID, event.Fields{
		"endpoint": s.current.endpoint.ID, "events": s.events, "sends": s.sends + 1, "route": s.rule.Name,
		"rules": s.route.Version, "age_ms": s.age(), "first_ms": s.firstAt.Sub(s.start).Milliseconds(),
		"pause_ms": s.longest.Milliseconds(), "pause_after": s.pausedAt,
	})
}

// conclude answers a call that no endpoint serves; once events were passed on, only a cut tells so.
func (s *stream) conclude(w *whole, err error) {
	s.finished = true
	if s.events == 0 {
		s.call.conclude(w, err)
		return
	}
	if err == nil {
		err = errNoOther
	}
	s.cut(err)
}

// learn takes the length of a whole generation for forecasts.
func (s *stream) learn() {
	if s.service.Engine != nil && s.LastEvent == "" {
		s.g.Expect.Ended(s.rule.Name, core.Tokens(s.events*s.service.Engine.EventTokens))
	}
}

// cut ends a stream that cannot go on; it never looks complete.
func (s *stream) cut(cause error) {
	s.finished = true
	if s.events == 0 {
		clear(s.w.Header())
		s.fail(http.StatusBadGateway, cause)
		return
	}
	s.outcome = "cut"
	s.g.Log.Request(event.Cut, s.ID, event.Fields{
		"endpoint": s.sentTo, "events": s.events, "error": cause, "age_ms": s.age(), "route": s.rule.Name,
	})
	panic(http.ErrAbortHandler)
}

// ended ends a stream whose caller left or whose deadline has passed.
func (s *stream) ended(writeErr error) {
	s.finished = true
	switch {
	case s.r.Context().Err() != nil || writeErr != nil:
		s.left("relaying the stream")
	case s.events > 0:
		s.cut(errDeadline)
	case s.current == nil && s.pending == nil && !s.mayHaveRun:
		s.refuse(reasonFull, s.fullRetry())
	default:
		clear(s.w.Header())
		s.fail(http.StatusGatewayTimeout, errDeadline)
	}
}
