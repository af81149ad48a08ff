package gate

import (
	"errors"
	"net/http"
	"time"

	"snipeshed/core"
	"snipeshed/io/event"
)

// clearingEvents is the number of events that show that an engine answers a prompt.
const clearingEvents = 2

var (
	errCrashingPrompt = errors.New("engines crashed on requests with a part of this prompt")
	errQuarantined    = errors.New("a part of the prompt is quarantined because it has crashed engines")
)

// sharedParts returns the parts of the prompt that other requests may have too.
func (c *call) sharedParts() []core.PromptPart {
	return c.PromptParts[:max(len(c.PromptParts)-1, 0)]
}

// quarantine reports whether the call must not be sent to an engine, and why.
func (c *call) quarantine(now time.Time) (core.Quarantine, bool) {
	if c.isTrial {
		return core.Quarantine{}, false
	}
	return c.g.Blame.Check(now, c.sharedParts())
}

// refuseQuarantined refuses a call that has not been sent yet if its prompt has a quarantined part, and reports whether it did.
func (c *call) refuseQuarantined() bool {
	now := time.Now()
	q, ok := c.quarantine(now)
	if !ok {
		return false
	}
	if c.g.Blame.TakeTrial(now, q.Part) {
		c.isTrial = true
		c.g.Meter.Count("quarantine_trial")
		return false
	}
	c.logQuarantined(q)
	c.refuse(reasonQuarantined, quarantineRetryAfter)
	return true
}

func (c *call) logQuarantined(q core.Quarantine) {
	c.g.Meter.Count("quarantined")
	c.g.Log.EmitRequest(event.Quarantined, c.ID, event.Fields{
		"part": q.Part, "crashes": q.Crashes, "sends": c.sends, "endpoint": c.sentTo, "route": c.routeName(),
		"age_ms": c.ageMs(),
	})
}

// endQuarantined ends a stream without events if its prompt has a quarantined part, and reports whether it did. The connection
// to its engine is closed, so that the engine drops the request before it begins to answer.
func (s *stream) endQuarantined() bool {
	if s.eventsSent > 0 || s.finished {
		return false
	}
	q, ok := s.quarantine(time.Now())
	if !ok {
		return false
	}
	s.logQuarantined(q)
	s.finished = true
	if s.mayHaveRun || s.current != nil || s.pending != nil {
		s.fail(http.StatusBadGateway, errQuarantined)
	} else {
		s.refuse(reasonQuarantined, quarantineRetryAfter)
	}
	return true
}

// isQuarantined reports whether a stream without events must not go on at another engine.
func (s *stream) isQuarantined(now time.Time) bool {
	if s.eventsSent > 0 {
		return false
	}
	_, ok := s.quarantine(now)
	return ok
}

// mayCrashAnother reports whether a stream without events must not be sent to a further engine because its prompt may crash it.
func (s *stream) mayCrashAnother(now time.Time) bool {
	return s.eventsSent == 0 && !s.isTrial && s.g.Blame.Suspected(now, s.sharedParts())
}

// reportCrash records a crash, and reports whether there was one, if the engine had begun to answer, has sent no event and now
// refuses connections. An engine that still accepts them has broken off this answer alone.
func (s *stream) reportCrash(up *upstream) bool {
	parts := s.sharedParts()
	if s.eventsSent > 0 || len(parts) == 0 || len(s.heldEvents) > 0 {
		return false
	}
	if !s.refusesConnections(up.endpoint) {
		return false
	}
	p := up.endpoint.Incarnation()
	if !s.g.Blame.RecordCrash(time.Now(), p, parts) {
		return true
	}
	s.g.Meter.Count("engine_crashed")
	s.g.Log.EmitRequest(event.EngineCrashed, s.ID, event.Fields{
		"endpoint": p.ID, "started": p.Started, "parts": parts, "age_ms": s.ageMs(),
	})
	s.g.MarkUnreachable(p.ID, true)
	s.g.SyncPeers()
	return true
}

// clearParts clears the suspected parts of a prompt that an engine answers.
func (s *stream) clearParts() {
	cleared := s.g.Blame.RecordAnswer(time.Now(), s.sharedParts())
	if len(cleared) == 0 {
		return
	}
	s.g.Log.EmitRequest(event.PartCleared, s.ID, event.Fields{"parts": cleared, "endpoint": s.sentTo})
	s.g.SyncPeers()
}

// EndQuarantined ends the streams without events whose prompts have a quarantined part.
func (g *Gate) EndQuarantined(now time.Time) {
	if g.Blame.HasQuarantine(now) {
		g.streams.notifyQuarantine()
	}
}
