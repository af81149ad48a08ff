package gate

import (
	"net/http"
	"time"

	"snipeshed/core"
	"snipeshed/io/event"
)

// failOverToBackup resumes a stream at the engine that keeps a backup after its own engine failed or fell silent. The connection to a
// silent engine stays open until the other one answers.
//
// Only an event shows that the failed engine has generated, and may have sent memory to the backup. Without one, the engine that is
// to keep the backup might begin the generation anew, so it is used only if the failed engine confirms that it has stopped.
func (s *stream) failOverToBackup(failed *upstream, backup core.Endpoint) {
	copyAt := ""
	if failed.eventsRead > 0 {
		copyAt = backup.Address + "/" + string(s.ID)
	}
	s.failOver(failed.endpoint, backup, copyAt, "")
}

// failOverToCopy resumes a stream at the engine that holds a complete copy after its own engine failed, or may not have stopped.
func (s *stream) failOverToCopy() {
	m := &s.migration
	s.failOver(m.source, m.target, m.source.Address+"/"+m.memoryHandle, m.memoryHandle)
}

// failOver resumes a stream at another engine after its own engine failed. The failed engine may still run the generation although
// its answer was lost, so it is stopped first. copyAt is the location of the memory that target holds already, if it holds any.
func (s *stream) failOver(source, target core.Endpoint, copyAt, handle string) {
	s.migration.uncountMemory(s.g)
	s.migration = migration{
		source: source, target: target, moveRequestInFlight: true, finalCopy: true, stopped: true, stoppingFailedSource: true,
		copyAt: copyAt, memoryHandle: handle,
	}
	id := s.ID
	s.sendMoveRequest("stopping the generation", moveResult{source: source.ID, final: true}, func() (core.MoveResult, error) {
		return s.g.stopAndMove(source, target, id)
	})
}

// onFailedSourceStopped resumes the stream from the other engine's copy after the attempt to stop the failed engine.
func (s *stream) onFailedSourceStopped(m moveResult) {
	s.g.Log.EmitRequest(event.Copied, s.ID, event.Fields{
		"endpoint": m.source, "target": s.migration.target.ID, "final": true, "handle": m.Handle, "error": m.err, "events": s.eventsSent,
		"cause": "the connection to the endpoint broke",
	})
	s.migration.stoppingFailedSource = false
	source, target := s.migration.source, s.migration.target
	if m.Handle != "" {
		s.migration.memoryHandle = m.Handle
	}
	if s.current != nil && s.sawEOF {
		if moveStatus(m.err) == http.StatusNotFound {
			s.complete() // the generation had ended by itself
			return
		}
		s.current.close(false)
		s.current = nil
	}
	switch {
	case m.err == nil:
		s.resumeFromCopy(target)
	case s.current != nil:
		s.onSilentSourceRuns()
	case s.migration.copyAt != "" && s.resumeAt(target, s.migration.copyAt):
		s.migration.source = source // if it was stopped and the other engine had no room, it keeps the memory
	default:
		s.abort(errNotResumed)
	}
}

// onSilentSourceRuns continues a stream whose silent engine was asked to stop and may still run the generation: with the events that it
// has sent meanwhile, and from the backup.
func (s *stream) onSilentSourceRuns() {
	s.migration.stopped = false
	s.deliverHeld()
	if s.finished {
		return
	}
	if s.current != nil && !s.resumeFromBackup() {
		s.silenceDeadline = time.Now().Add(silenceRetryInterval)
		s.resetTimer()
	}
	s.onEndpointNotice()
}

// onResumeFailed handles an upstream that was to continue a generation and could not.
func (s *stream) onResumeFailed(o openResult) {
	fields := event.Fields{
		"endpoint": o.upstream.endpoint.ID, "from": o.upstream.resumeFrom, "error": o.err, "events": s.eventsSent, "age_ms": s.ageMs(),
	}
	if o.answer != nil {
		fields["status"], fields["not_run"] = o.answer.StatusCode, o.answer.NotRun
	}
	s.g.Log.EmitRequest(event.NotResumed, s.ID, fields)
	unsent := unsentError(o.err)
	if unsent != nil && s.ctx.Err() == nil {
		s.g.MarkUnreachable(o.upstream.endpoint.ID, unsent.Refused())
	}
	mayRun := o.answer == nil && unsent == nil
	if mayRun && s.ctx.Err() == nil {
		s.recordLoss(o.upstream)
	}
	s.g.Meter.Count("not_resumed")
	switch {
	case s.ctx.Err() != nil:
		s.endEarly(nil)
	case s.current != nil && !s.migration.stopped:
		if mayRun {
			s.leave(o.upstream.endpoint)
			s.stopLeft(s.current.endpoint)
		}
		s.deliverHeld()
		s.migration.nextStepAt = time.Now()
		s.resetTimer()
	case s.migration.hasMemoryHandle() && o.upstream.endpoint.ID != s.migration.source.ID:
		if mayRun {
			s.leave(o.upstream.endpoint)
		}
		s.resumeFromCopy(s.migration.source)
	default:
		s.abort(errNotResumed)
	}
}
