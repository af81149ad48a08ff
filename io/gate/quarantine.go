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
	if parts := c.sharedParts(); len(parts) > 0 {
		c.g.Blame.RecordRequest(now, parts)
	}
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
	s.recordOpenLosses()
	s.finished = true
	if s.mayHaveRun || s.current != nil || s.pending != nil {
		s.fail(http.StatusBadGateway, errQuarantined)
	} else {
		s.refuse(reasonQuarantined, quarantineRetryAfter)
	}
	return true
}

// isQuarantined reports whether a stream must not go on at another engine. One with events may, unless it has lost an engine.
func (s *stream) isQuarantined(now time.Time) bool {
	if s.eventsSent > 0 && s.enginesLost == 0 {
		return false
	}
	_, ok := s.quarantine(now)
	return ok
}

// maxEnginesLost is the number of engines after whose loss a stream is not resumed once more: its prompt may crash each engine some
// way into the answer.
const maxEnginesLost = 2

// mayCrashAnother reports whether a stream must not be sent to a further engine because its prompt may crash it.
func (s *stream) mayCrashAnother(now time.Time) bool {
	switch {
	case s.isTrial:
		return false
	case s.eventsSent > 0:
		return s.enginesLost >= maxEnginesLost
	default:
		return s.g.Blame.Suspected(now, s.sharedParts())
	}
}

// recordLoss records that an engine has lost the stream's request: it is evidence against the prompt once the engine's process is
// known to have ended by itself. An engine that leaves ends as planned.
func (s *stream) recordLoss(up *upstream) {
	parts := s.sharedParts()
	if len(parts) == 0 || up.sentToSilent || s.g.isLeaving(up.endpoint.ID) {
		return
	}
	if up == s.current {
		s.enginesLost++
	}
	loss := core.Loss{Evidence: s.evidence(up), Parts: parts, SentAt: up.openedAt}
	if up == s.current && up.eventsRead > 0 {
		loss.EventAt = s.lastEventAt
	}
	if loss.Evidence == core.EvidenceHead && s.refusesConnections(up.endpoint) {
		s.g.recordCrash(up.endpoint, s.ID, parts)
		return
	}
	if s.g.Blame.RecordLoss(time.Now(), up.endpoint, loss) {
		s.g.logCrash(up.endpoint.Incarnation(), s.ID, []core.Loss{loss})
		return
	}
	s.g.checkEnd(up.endpoint)
}

// recordSilentLoss records the loss of a request that ends while its engine is silent.
func (s *stream) recordSilentLoss() {
	for _, up := range []*upstream{s.current, s.pending} {
		if up != nil && time.Since(core.Later(up.openedAt, s.lastEventAt)) > silenceTimeout {
			s.recordLoss(up)
		}
	}
}

// recordOpenLosses records the open requests of a quarantined stream as lost. Their engines may have crashed on them already, at hosts
// that fall silent; without them, such a crash would seem to be due to the other requests that it lost.
func (s *stream) recordOpenLosses() {
	for _, up := range []*upstream{s.current, s.pending} {
		if up != nil {
			s.recordLoss(up)
		}
	}
}

// evidence returns how far the answer to the stream's request at an engine has come.
func (s *stream) evidence(up *upstream) core.Evidence {
	switch {
	case s.eventsSent > 0 || up.eventsRead > 0:
		return core.EvidenceEvents
	case up.answer != nil:
		return core.EvidenceHead
	default:
		return core.EvidenceWaiting
	}
}

// clearParts clears the suspected parts of a prompt that an engine has begun to answer, or has answered to the end.
func (s *stream) clearParts(complete bool) {
	record := s.g.Blame.RecordAnswer
	if complete {
		record = s.g.Blame.RecordComplete
	}
	cleared := record(time.Now(), s.sharedParts())
	if len(cleared) == 0 {
		return
	}
	s.g.Log.EmitRequest(event.PartCleared, s.ID, event.Fields{"parts": cleared, "endpoint": s.sentTo, "complete": complete})
	s.g.SyncPeers()
}

// EndQuarantined ends the streams without events whose prompts have a quarantined part.
func (g *Gate) EndQuarantined(now time.Time) {
	if g.Blame.HasQuarantine(now) {
		g.streams.notifyQuarantine()
	}
}
