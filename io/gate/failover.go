package gate

import (
	"errors"
	"time"

	"snipeshed/core"
	"snipeshed/io/dial"
	"snipeshed/io/event"
)

// failOverToBackup resumes a stream at the engine that keeps a backup after its own engine failed. The failed engine may
// still run the generation although its answer was lost, so it is stopped first.
//
// Only an event shows that the failed engine has generated, and may have sent memory to the backup. Without one, the engine that is
// to keep the backup might begin the generation anew, so it is used only if the failed engine confirms that it has stopped.
func (s *stream) failOverToBackup(failed *upstream, backup core.Endpoint) {
	source := failed.endpoint
	s.migration.uncountMemory(s.g)
	s.migration = migration{
		source: source, target: backup, moveRequestInFlight: true, finalCopy: true, stopped: true, stoppingFailedSource: true,
		backupBegun: failed.eventsRead > 0,
	}
	id, out := s.ID, s.moveResults
	s.inBackground("stopping the generation", func() {
		m, err := s.g.Mover.StopAndMove(source, backup, id)
		out <- moveResult{source: source.ID, final: true, MoveResult: m, err: err}
	})
}

// onFailedSourceStopped resumes the stream from the backup after the attempt to stop the failed engine.
func (s *stream) onFailedSourceStopped(m moveResult) {
	s.g.Log.EmitRequest(event.Copied, s.ID, event.Fields{
		"endpoint": m.source, "target": s.migration.target.ID, "final": true, "handle": m.Handle, "error": m.err, "events": s.eventsSent,
		"cause": "the connection to the endpoint broke",
	})
	s.migration.stoppingFailedSource = false
	source, backup := s.migration.source, s.migration.target
	switch {
	case m.err == nil:
		s.migration.memoryHandle = m.Handle
		s.resumeFromCopy(backup)
	case s.migration.backupBegun && s.resumeAt(backup, backup.Address+"/"+string(s.ID)):
		s.migration.memoryHandle = m.Handle // if the source was stopped and the other engine had no room, the source keeps the memory
		s.migration.source = source
	default:
		s.abort(errNotResumed)
	}
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
	var sendErr *dial.Error
	if errors.As(o.err, &sendErr) && !sendErr.MayHaveRun() && s.ctx.Err() == nil {
		s.g.MarkUnreachable(o.upstream.endpoint.ID, sendErr.Refused())
	}
	s.g.Meter.Count("not_resumed")
	switch {
	case s.ctx.Err() != nil:
		s.endEarly(nil)
	case s.current != nil && !s.migration.stopped:
		s.deliverHeld()
		s.migration.nextStepAt = time.Now()
		s.resetTimer()
	case s.migration.hasMemoryHandle() && o.upstream.endpoint.ID != s.migration.source.ID:
		s.resumeFromCopy(s.migration.source)
	default:
		s.abort(errNotResumed)
	}
}
