package gate

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"snipeshed/core"
	"snipeshed/core/fleet"
	"snipeshed/core/place"
	"snipeshed/core/tally"
	"snipeshed/io/event"
)

const (
	// backupSwitchDelay plus a random part of backupSwitchJitter is the time from an engine's notice of leaving until its
	// generations are resumed from their backups. Until then they continue in place, where the short ones finish.
	backupSwitchDelay  = 500 * time.Millisecond
	backupSwitchJitter = 500 * time.Millisecond
	// copyRetryInterval is the time between two searches for an engine that can take a copy.
	copyRetryInterval = 200 * time.Millisecond
	// uncontendedCopyTime is the longest duration of a copy that had the link to itself; the final copy, for which the
	// generation is stopped, then takes about as long. A slower copy shared the link with others and is followed by
	// another copy while the generation continues.
	uncontendedCopyTime = 60 * time.Millisecond
	// finalCopyDelay is the time from the notice after which the generation is stopped for its final copy, however long that
	// may take: engines leave from 1.5 s after their notice.
	finalCopyDelay = 1200 * time.Millisecond
	// resumeTimeout is the time within which an engine must answer a resumption while the engine before still generates; two
	// engines must not work on a generation for 0.4 s.
	resumeTimeout       = 350 * time.Millisecond
	resumeCheckInterval = 20 * time.Millisecond
	// moveRetryInterval is the time until a failed move is tried again.
	moveRetryInterval = 40 * time.Millisecond
	// maxMoveAttempts is the number of attempts to move one generation after which excluded targets are not tried again.
	maxMoveAttempts = 12
)

// migration is the state of moving a running generation from its engine to another one.
type migration struct {
	source               core.Endpoint
	target               core.Endpoint
	nextStepAt           time.Time // zero when no step is due
	leaving              bool      // the source is leaving
	moveRequestInFlight  bool      // a request to copy or to stop the generation is in flight at the source
	finalCopy            bool      // that request stops the generation
	stopped              bool      // the generation was or is being stopped, and must be resumed
	stoppingFailedSource bool      // the source failed and is being stopped in case it still runs; target holds a copy or backup
	copyAt               string    // location of the memory that target holds already, if the source that failed gives none
	// memoryHandle names a complete copy at target, or the memory that the source kept when the target had no room for the
	// final copy.
	memoryHandle    string
	leavingSince    time.Time // when the source was first known to be leaving
	moveRequestedAt time.Time // when the last request to copy was sent
	attempts        int
	excluded        map[core.EndpointID]bool // engines that refused a copy for lack of room
	countedMemory   core.Tokens              // counted at target in the load table
}

// inactive reports whether no migration is in progress.
func (m *migration) inactive() bool { return !m.leaving && !m.stopped }

// hasMemoryHandle reports whether memoryHandle names a complete copy at the target or memory that the source kept.
func (m *migration) hasMemoryHandle() bool { return m.memoryHandle != "" }

// uncountMemory removes the memory of the copy from the load table.
func (m *migration) uncountMemory(g *Gate) {
	if m.countedMemory > 0 {
		g.Loads.AddOwn(m.target.ID, tally.Load{Calls: -1, Tokens: -m.countedMemory})
		m.countedMemory = 0
	}
}

// dropCopy frees a copy that will not be used.
func (m *migration) dropCopy(g *Gate) {
	m.uncountMemory(g)
	if m.memoryHandle == "" {
		return
	}
	source, target, handle := m.source, m.target, m.memoryHandle
	m.memoryHandle = ""
	go g.Mover.FreeCopy(source, target, handle)
}

// exclude excludes an engine that had no room from the choice of a target.
func (m *migration) exclude(id core.EndpointID) {
	if m.excluded == nil {
		m.excluded = map[core.EndpointID]bool{}
	}
	m.excluded[id] = true
}

// reset discards the state for a generation that now runs at source.
func (m *migration) reset(g *Gate, source core.Endpoint) {
	m.uncountMemory(g)
	*m = migration{source: source}
}

// moveResult is the outcome of a copy or stop request to the source.
type moveResult struct {
	request int // number of the request
	source  core.EndpointID
	final   bool
	core.MoveResult
	err error
}

// startMigration starts to move the generation off an engine that is leaving.
func (s *stream) startMigration(now time.Time, up *upstream, since time.Time) {
	s.migration.leaving, s.migration.source, s.migration.attempts = true, up.endpoint, 0
	s.migration.nextStepAt, s.migration.leavingSince = now, since
	if s.backupPreferred(up) {
		s.migration.nextStepAt = since.Add(backupSwitchDelay + rand.N(backupSwitchJitter))
	}
	s.g.Log.EmitRequest(event.Moving, s.ID, event.Fields{
		"endpoint": up.endpoint.ID, "cause": "the endpoint leaves", "notice_age_ms": now.Sub(since).Milliseconds(),
		"events": s.eventsSent, "backup": backupID(up), "copy": s.migration.target.ID, "wait_ms": s.migration.nextStepAt.Sub(now).Milliseconds(),
	})
	s.resetTimer()
}

func (s *stream) backupUsable(up *upstream) bool {
	if up.backup == nil {
		return false
	}
	return !s.unavailable(*up.backup)
}

// backupPreferred reports whether a generation that must leave its engine is resumed from its backup, rather than copied to an
// engine that accepts requests.
func (s *stream) backupPreferred(up *upstream) bool {
	if !s.backupUsable(up) {
		return false
	}
	return !s.service.Engine.CanMove || !s.g.backsOff(up.backup.ID)
}

// copyPreferred reports whether the copy at the migration's target is used, rather than another one made: the target is
// available, and accepts requests unless there is no other choice.
func (s *stream) copyPreferred() bool {
	target := s.migration.target
	if s.unavailable(target) {
		return false
	}
	return !s.g.backsOff(target.ID) || s.chooseMoveTarget(s.migration.excluded) == nil
}

// chooseMoveTarget chooses an engine for a copy of the generation that must leave its engine, or nil.
func (s *stream) chooseMoveTarget(excluded map[core.EndpointID]bool) *fleet.Status {
	all := s.endpoints()
	return s.g.Selector.ChooseCopyTarget(time.Now(), s.service, all, s.migration.source, place.Demand{Tokens: s.countedMemory}, true, excluded)
}

// stepMigration performs the next step of moving the generation off an engine that is leaving.
func (s *stream) stepMigration() {
	switch {
	case s.migration.moveRequestInFlight || s.migration.stopped || s.current == nil:
	case s.pending != nil:
		s.migration.nextStepAt = time.Now().Add(moveRetryInterval)
	case s.current.eventsRead > 0 && s.backupPreferred(s.current) && s.resumeFromBackup():
	case !s.service.Engine.CanMove:
	case s.migration.hasMemoryHandle() && s.copyPreferred():
		s.finishOrCopyAgain()
	default:
		s.startCopy()
	}
}

// finishOrCopyAgain stops the generation for its final copy, or copies once more while it runs if the link is busy.
func (s *stream) finishOrCopyAgain() {
	now := time.Now()
	if now.Sub(s.migration.moveRequestedAt) > uncontendedCopyTime && now.Sub(s.migration.leavingSince) < finalCopyDelay {
		s.requestMove(false)
		return
	}
	s.migration.stopped = true
	s.requestMove(true)
}

// resumeFromBackup resumes the stream at the engine that keeps a backup and reports whether it could. The current upstream
// stays open until that engine answers.
func (s *stream) resumeFromBackup() bool {
	up := s.current
	if !s.backupUsable(up) {
		return false
	}
	backup := *up.backup
	up.removeBackup()
	return s.resumeAt(backup, backup.Address+"/"+string(s.ID))
}

// resumeAt sends the call to an endpoint that holds the generation's memory or can fetch it from the given location, and
// reports whether it could.
func (s *stream) resumeAt(target core.Endpoint, from string) bool {
	now := time.Now()
	if s.g.Endpoints.Get(target.ID) == nil || now.After(s.end) || s.lacksID || s.isQuarantined(now) || s.g.Endpoints.IsEvacuated(target.Domain) {
		return false
	}
	s.g.Retries.ForceRetry(now, s.service.Name)
	s.open(target, from, s.chooseBackup(now, target))
	if s.current != nil {
		s.resumeDeadline = now.Add(resumeTimeout)
		s.resetTimer()
	}
	return true
}

// onSlowResumption gives up a resumption that has no answer while the engine before goes on: the other one may have begun, too.
func (s *stream) onSlowResumption(now time.Time) {
	s.resumeDeadline = time.Time{}
	up := s.pending
	switch {
	case up == nil || up.resumeFrom == "" || s.current == nil || s.migration.stopped:
		return
	case len(s.heldEvents) == 0: // the engine before is silent as well, so this one may still be the better one
		s.resumeDeadline = now.Add(resumeCheckInterval)
		return
	}
	s.pending = nil
	up.close(false)
	s.migration.exclude(up.endpoint.ID)
	s.onResumeFailed(openResult{upstream: up, err: errSlowResumption})
}

// startCopy chooses a target engine and starts to copy the generation there while it continues.
func (s *stream) startCopy() {
	now := time.Now()
	e := s.chooseMoveTarget(s.migration.excluded)
	if e == nil && s.migration.attempts < maxMoveAttempts {
		s.migration.excluded = nil
		e = s.chooseMoveTarget(nil)
	}
	s.migration.dropCopy(s.g)
	if e == nil {
		s.migration.nextStepAt = now.Add(copyRetryInterval)
		return
	}
	s.migration.attempts++
	s.migration.target, s.migration.countedMemory = e.Endpoint, s.countedMemory
	s.g.Loads.AddOwn(e.ID, tally.Load{Calls: 1, Tokens: s.countedMemory})
	s.g.NotifyPeers(e.Domain, true)
	s.requestMove(false)
}

// requestMove asks the source to copy the generation to the target; the outcome arrives on s.moveResults.
func (s *stream) requestMove(final bool) {
	s.migration.moveRequestInFlight, s.migration.finalCopy, s.migration.moveRequestedAt = true, final, time.Now()
	source, target, id := s.migration.source, s.migration.target, s.ID
	s.sendMoveRequest("moving the generation", moveResult{source: source.ID, final: final}, func() (core.MoveResult, error) {
		return s.g.Mover.Move(source, target, id, final)
	})
}

// sendMoveRequest sends a request to copy or stop the generation in the background; its outcome arrives on s.moveResults. The
// outcomes of earlier requests no longer count.
func (s *stream) sendMoveRequest(what string, r moveResult, send func() (core.MoveResult, error)) {
	s.moveRequests++
	r.request = s.moveRequests
	ctx, out := s.ctx, s.moveResults
	s.inBackground(what, func() {
		r.MoveResult, r.err = send()
		select {
		case out <- r:
		case <-ctx.Done():
		}
	})
}

// onMoveResult handles the outcome of a copy or stop request.
func (s *stream) onMoveResult(m moveResult) {
	if m.request != s.moveRequests || !s.migration.moveRequestInFlight {
		return // of an earlier migration
	}
	s.migration.moveRequestInFlight = false
	if s.migration.stoppingFailedSource {
		s.onFailedSourceStopped(m)
		return
	}
	s.g.Log.EmitRequest(event.Copied, s.ID, event.Fields{
		"endpoint": m.source, "target": s.migration.target.ID, "final": m.final, "handle": m.Handle, "error": m.err,
		"events": s.eventsSent, "copied_events": m.Events,
	})
	switch {
	case m.err == nil && !m.final:
		s.onCopied(m.Handle)
	case m.err == nil:
		s.migration.memoryHandle = m.Handle
		s.resumeFromCopy(s.migration.target)
	default:
		s.onMoveFailed(m)
	}
}

// onCopied handles the end of a copy that was made while the generation continued.
func (s *stream) onCopied(handle string) {
	if s.pending != nil || s.current == nil {
		return // the stream was resumed elsewhere meanwhile
	}
	s.migration.memoryHandle = handle
	s.finishOrCopyAgain()
}

// resumeFromCopy resumes the stream at target with the memory that the source copied or kept.
func (s *stream) resumeFromCopy(target core.Endpoint) {
	if s.resumeAt(target, s.migration.source.Address+"/"+s.migration.memoryHandle) {
		return
	}
	s.abort(errNoOtherEndpoint)
}

// onMoveFailed decides how to continue after a copy that failed.
func (s *stream) onMoveFailed(m moveResult) {
	status := moveStatus(m.err)
	switch {
	case m.final && status == http.StatusServiceUnavailable && m.Handle != "":
		s.migration.memoryHandle = m.Handle
		s.resumeFromCopy(s.migration.source) // the generation was stopped at the source, which keeps its memory
	case m.final && status == http.StatusNotFound:
		s.migration.stopped = false // the generation has ended; its last events are held or in transit
		s.deliverHeld()
		switch {
		case s.sawEOF:
			s.complete()
		case s.current == nil && s.pending == nil:
			s.abort(m.err)
		}
	case m.final && s.migration.hasMemoryHandle() && (s.sawEOF || s.current == nil):
		s.resumeFromCopy(s.migration.target)
	case m.final && s.migration.hasMemoryHandle():
		s.deliverHeld()
		if s.current != nil && !s.finished {
			s.current.close(false)
			s.current = nil
			s.failOverToCopy() // the source may still run the generation
		}
	case status == 0 && s.migration.hasMemoryHandle():
		// The source may have left. The copy made before stays complete, and the stream can go on from it when the source ends.
		s.deliverHeld()
		s.migration.nextStepAt = time.Now().Add(moveRetryInterval)
		s.resetTimer()
	default:
		s.migration.stopped = false
		s.migration.memoryHandle = ""
		if status == http.StatusServiceUnavailable {
			s.migration.exclude(s.migration.target.ID)
		}
		s.deliverHeld()
		s.migration.nextStepAt = time.Now().Add(moveRetryInterval)
		s.resetTimer()
	}
}

// deliverHeld delivers the events that were held back while the stream was to be resumed elsewhere.
func (s *stream) deliverHeld() {
	for _, e := range s.takeHeld() {
		if s.current != nil && !s.finished {
			s.deliver(e)
		}
	}
}

var errSlowResumption = errors.New("the engine has not answered in time, and the engine before goes on")

var errNotResumed = errors.New("the generation could not be resumed at an engine that holds or can fetch its memory")
