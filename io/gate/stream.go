package gate

import (
	"errors"
	"net/http"
	"time"

	"snipeshed/core"
	"snipeshed/core/place"
	"snipeshed/io/dial"
	"snipeshed/io/event"
)

// stream is a call that is answered with a stream of events. All its state belongs to the goroutine of run; other goroutines
// send their results to its channels.
type stream struct {
	*call
	rc             *http.ResponseController
	countedMemory  core.Tokens // in the load table: the forecast, raised when the generation outgrows it
	endpointNotice chan struct{}
	// quarantineNotice tells that the quarantined parts may have changed.
	quarantineNotice chan struct{}
	openResults      chan openResult
	moveResults      chan moveResult
	timer            *time.Timer
	current          *upstream // its events are delivered
	pending          *upstream // request sent, no response yet
	heldEvents       []streamEvent
	heldBytes        int
	migration        migration
	moveRequests     int             // number of requests to copy or stop the generation
	reservation      string          // id of the memory reservation for the upstream that is opened next
	left             []core.Endpoint // engines that may still run the generation after the stream has left them

	answerHeader      http.Header // of the engine whose first event is delivered next or was delivered
	lastEventID       string      // of the last event delivered
	lacksID           bool        // data without an id was delivered after that event, so no other engine can go on after it
	eventsSent        int
	firstEventAt      time.Time
	lastEventAt       time.Time
	longestPause      time.Duration // longest pause between two events
	longestPauseAfter int           // number of events before that pause
	sentAt            time.Time     // when a resumable stream was last sent to an engine from its start
	silenceDeadline   time.Time     // when the lack of events counts as a failure; zero when none is set
	resumeDeadline    time.Time     // when a resumption without an answer is given up; zero when there is none
	sawEOF            bool          // the current upstream ended normally while its generation was to be stopped
	enginesLost       int           // engines that were not leaving and broke the connection, or fell silent, while they answered
	finished          bool
}

const (
	// fullRetryAfterShare is the retry delay, as a share of the time left, of a caller that found no room. Callers wait for at
	// most a third of the time left.
	fullRetryAfterShare = 0.2
)

// serveStream serves a call that is answered with a stream.
func (c *call) serveStream() {
	s := &stream{
		call: c, rc: http.NewResponseController(c.w), endpointNotice: make(chan struct{}, 1), quarantineNotice: make(chan struct{}, 1),
		openResults: make(chan openResult), moveResults: make(chan moveResult, 1), lastEventID: c.LastEventID, timer: time.NewTimer(time.Hour),
	}
	s.countedMemory = c.forecastMemory()
	defer s.close()
	if e := c.service.Engine; e != nil && c.PromptTokens > e.Capacity {
		c.refuse(reasonTooLarge, busyRetryAfter)
		return
	}
	s.sendToEngine(true)
	s.run()
}

func (s *stream) close() {
	s.timer.Stop()
	for _, up := range []*upstream{s.current, s.pending} {
		if up != nil {
			up.close(false)
		}
	}
	s.migration.dropCopy(s.g)
}

// fullRetryAfter returns the retry delay for a caller that found no room. It grows with the time left, as surges last some
// seconds.
func (s *stream) fullRetryAfter() time.Duration {
	return max(time.Duration(fullRetryAfterShare*float64(time.Until(s.end))), busyRetryAfter)
}

// sendToEngine sends the call to an engine with room; with wait set it may wait until one has room.
func (s *stream) sendToEngine(wait bool) {
	w := s.newRoomWait()
	defer w.close() // once the call counts at its engine, so that no late call sees room and nobody waiting in between
	e, reservationID := s.reserveRoom(w, wait)
	if e == nil {
		return
	}
	now := time.Now()
	s.tried[e.ID] = true
	backup := s.chooseBackup(now, e.Endpoint)
	load := s.g.Loads.Load(now, e.ID)
	s.lookUpSpeed(e.ID)
	s.g.Log.EmitRequest(event.Routed, s.ID, s.withSpeed(event.Fields{
		"endpoint": e.ID, "calls": load.Calls, "tokens": load.Tokens, "unread": load.PrefillTokens, "prompt": s.PromptTokens,
		"forecast": s.countedMemory, "hint": s.LengthHint, "max": s.MaxTokens, "backup": endpointID(backup), "hold": reservationID != "",
		"age_ms": s.ageMs(), "instances": s.g.Instances(),
	}))
	s.reservation = reservationID
	s.open(e.Endpoint, "", backup)
	s.silenceDeadline = time.Time{}
	if s.route.Resumable && s.failedAttempts+1 < s.route.MaxAttempts {
		s.sentAt = now
		s.silenceDeadline = now.Add(time.Duration(firstEventTimeoutShare * float64(s.route.Objective)))
	}
	s.resetTimer()
}

func (s *stream) exhaustedErr() error {
	if s.failedAttempts == 0 {
		return nil
	}
	return errNoOtherEndpoint
}

var errNoOtherEndpoint = errors.New("no other endpoint is available for the call")

// chooseBackup chooses the engine that is to keep a copy of the generation's memory, or nil.
func (s *stream) chooseBackup(now time.Time, source core.Endpoint) *core.Endpoint {
	if s.route.Resumable || s.service.Engine == nil || !s.service.Engine.CanBackUp {
		return nil
	}
	e := s.g.Selector.ChooseCopyTarget(now, s.service, s.endpoints(), source,
		place.Demand{Tokens: s.countedMemory}, false, nil)
	if e == nil {
		return nil
	}
	return &e.Endpoint
}

// run processes the stream's events, results, notices and timers until it is finished.
func (s *stream) run() {
	for !s.finished {
		select {
		case o := <-s.openResults:
			s.onOpenResult(o)
		case e := <-s.nextEvents():
			s.onEvent(e)
		case <-s.endpointNotice:
			s.onEndpointNotice()
		case <-s.quarantineNotice:
			s.endQuarantined()
		case m := <-s.moveResults:
			s.onMoveResult(m)
		case <-s.timer.C:
			s.onTimer()
		case <-s.ctx.Done():
			s.endEarly(nil)
		case <-s.stopDue():
			s.endStopping()
		}
	}
}

// resetTimer sets the timer to the earliest of the next migration step and the deadlines of silence and of a resumption.
func (s *stream) resetTimer() {
	next := time.Now().Add(time.Hour)
	for _, at := range []time.Time{s.silenceDeadline, s.migration.nextStepAt, s.resumeDeadline} {
		if !at.IsZero() && at.Before(next) {
			next = at
		}
	}
	s.timer.Reset(time.Until(next))
}

func (s *stream) onTimer() {
	now := time.Now()
	if at := s.migration.nextStepAt; !at.IsZero() && !now.Before(at) {
		s.migration.nextStepAt = time.Time{}
		s.stepMigration()
	}
	if at := s.resumeDeadline; !at.IsZero() && !now.Before(at) {
		s.onSlowResumption(now)
	}
	switch at := s.silenceDeadline; {
	case at.IsZero() || now.Before(at):
	case wasPaused(at, now):
		s.silenceDeadline = now.Add(afterPauseGrace)
	default:
		s.silenceDeadline = time.Time{}
		s.onSilence()
	}
	s.resetTimer()
}

// onOpenResult handles the outcome of sending an upstream's request.
func (s *stream) onOpenResult(o openResult) {
	if o.answer != nil {
		s.g.Log.EmitRequest(event.Opened, s.ID, event.Fields{
			"endpoint": o.upstream.endpoint.ID, "status": o.answer.StatusCode, "digest": o.answer.HasDigest, "events": s.eventsSent,
			"age_ms": s.ageMs(),
		})
	}
	if o.upstream != s.pending {
		o.upstream.close(false)
		if o.answer != nil {
			o.answer.Close(false)
		}
		return
	}
	if o.err == nil && isStream(o.answer) {
		s.switchTo(o.upstream, o.answer)
		return
	}
	s.pending = nil
	if o.answer != nil {
		defer o.answer.Close(false)
	}
	o.upstream.close(false)
	if o.upstream.resumeFrom != "" {
		s.onResumeFailed(o)
		return
	}
	s.onSendFailed(o)
}

// switchTo makes an upstream that has answered the current one.
func (s *stream) switchTo(up *upstream, a *dial.Answer) {
	if s.current != nil {
		s.current.close(false)
		if !s.migration.stopped {
			s.leave(s.current.endpoint)
		}
	}
	s.stopLeft(up.endpoint)
	if up.resumeFrom != "" || s.eventsSent > 0 {
		s.g.Meter.Count("resumed")
		s.g.Log.EmitRequest(event.Resumed, s.ID, event.Fields{
			"endpoint": up.endpoint.ID, "from": up.resumeFrom, "after": s.lastEventID, "events": s.eventsSent, "age_ms": s.ageMs(),
			"pause_ms": time.Since(s.lastEventAt).Milliseconds(),
		})
	}
	s.takeHeld()
	s.sawEOF = false
	s.current, s.pending = up, nil
	s.migration.reset(s.g, up.endpoint)
	if s.eventsSent == 0 {
		s.answerHeader = a.Header
	}
	up.startReading(a)
	if e := s.g.Endpoints.Get(up.endpoint.ID); e != nil && e.Leaving {
		s.onEndpointNotice()
	}
}

// onSendFailed handles an upstream that was to start a generation and returned no stream.
func (s *stream) onSendFailed(o openResult) {
	if unsent := unsentError(o.err); unsent != nil && s.ctx.Err() == nil {
		s.g.MarkUnreachable(o.upstream.endpoint.ID, unsent.Refused())
		if len(s.tried) < maxConnectAttempts {
			s.sendToEngine(false)
			return
		}
		s.answerFailure(nil, o.err)
		return
	}
	s.g.Loads.RecordOutcome(time.Now(), o.upstream.endpoint.ID, s.ctx.Err() == nil)
	s.failedAttempts++
	ans := o.failure
	s.mayHaveRun = s.mayHaveRun || ans == nil || !ans.NotRun
	if s.ctx.Err() != nil {
		s.endEarly(nil)
		return
	}
	if o.err != nil {
		s.recordLoss(o.upstream)
		if s.mayCrashAnother(time.Now()) {
			s.abort(errCrashingPrompt)
			return
		}
	}
	if o.err != nil && o.upstream.backup != nil {
		s.failOverToBackup(o.upstream, *o.upstream.backup)
		return
	}
	if s.mayRetry(ans, o.err) {
		if ans == nil || ans.readErr != nil {
			s.leave(o.upstream.endpoint)
		}
		s.sendToEngine(false)
		return
	}
	s.answerFailure(ans, o.err)
}

// onUpstreamFailed handles an upstream that failed before the end of its stream.
func (s *stream) onUpstreamFailed(up *upstream, cause error) {
	if s.ctx.Err() != nil {
		s.endEarly(nil)
		return
	}
	if up == s.pending {
		s.pending = nil
	}
	s.recordLoss(up)
	if up == s.current {
		s.current = nil
	}
	s.mayHaveRun = true
	s.g.Loads.RecordOutcome(time.Now(), up.endpoint.ID, true)
	backup := up.backup
	up.close(false)
	if s.pending != nil || s.migration.stopped { // the stream is already being resumed
		if s.pending != nil && !s.migration.stopped {
			s.leave(up.endpoint)
			s.stopLeft(s.pending.endpoint)
		}
		return
	}
	s.g.Log.EmitRequest(event.Moving, s.ID, event.Fields{
		"endpoint": up.endpoint.ID, "cause": cause, "events": s.eventsSent, "backup": backupID(up), "copy": s.migration.memoryHandle,
		"age_ms": s.ageMs(),
	})
	if s.mayCrashAnother(time.Now()) {
		s.failedAttempts++
		s.abort(errCrashingPrompt)
		return
	}
	if s.migration.hasMemoryHandle() && s.migration.source.ID == up.endpoint.ID {
		s.failOverToCopy()
		return
	}
	if backup != nil {
		s.failOverToBackup(up, *backup)
		return
	}
	s.failedAttempts++
	if s.route.Resumable && !s.lacksID && s.mayRetry(nil, cause) {
		s.leave(up.endpoint)
		s.sendToEngine(false)
		return
	}
	s.abort(cause)
}

func backupID(up *upstream) core.EndpointID { return endpointID(up.backup) }

func endpointID(e *core.Endpoint) core.EndpointID {
	if e == nil {
		return ""
	}
	return e.ID
}
