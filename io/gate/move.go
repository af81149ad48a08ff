package gate

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"snipeshed/core"
	"snipeshed/core/place"
	"snipeshed/core/tally"
	"snipeshed/io/dial"
	"snipeshed/io/event"
)

const (
	// switchAfter and switchSpread give the time from the notice of a leaving engine to the resumption of its
	// generations where their copies are; until then they go on in place, and shorter ones end there.
	switchAfter  = 500 * time.Millisecond
	switchSpread = 500 * time.Millisecond
	// copyRetry is the time until an engine for a copy is looked for again.
	copyRetry = 200 * time.Millisecond
	// shortCopy is the duration of a copy that met no others on the link: the generation is stopped for about as long by
	// its last copy. One that met others is followed by a further copy while the generation goes on.
	shortCopy = 60 * time.Millisecond
	// lastCopyAfter is the time from the notice at which the generation is stopped however long its last copy may take:
	// engines leave from 1.5 s after their notice.
	lastCopyAfter = 1200 * time.Millisecond
	// moveRetry is the time until a refused move is tried again.
	moveRetry = 40 * time.Millisecond
	// moveTries bounds the moves of one generation off one engine.
	moveTries = 12
)

// movement is the state of moving a generation off its engine.
type movement struct {
	source  core.Endpoint
	target  core.Endpoint
	at      time.Time // when the next step is due
	leaving bool      // the source leaves
	busy    bool      // a call to the source is under way
	final   bool      // that call stops the generation
	stopped bool      // the generation has stopped, or is about to, and waits to be resumed
	salvage bool      // the source broke off and is being stopped, in case it goes on; target keeps a backup
	handle  string    // of a complete copy at target
	since   time.Time // when the source's leaving was first known
	asked   time.Time // when the call that is under way was sent
	tries   int
	refused map[core.EndpointID]bool // engines that had no room
	memory  core.Tokens              // counted at target
}

// idle reports whether the generation is not being moved.
func (m *movement) idle() bool { return !m.leaving && !m.stopped }

// copied reports whether the target holds a complete copy.
func (m *movement) copied() bool { return m.handle != "" }

// release stops counting the memory of the copy.
func (m *movement) release(g *Gate) {
	if m.memory > 0 {
		g.Tally.Add(m.target.ID, tally.Use{Calls: -1, Tokens: -m.memory})
		m.memory = 0
	}
}

// drop gives up a copy that nobody will use.
func (m *movement) drop(g *Gate) {
	m.release(g)
	if m.handle == "" {
		return
	}
	source, target, handle := m.source, m.target, m.handle
	m.handle = ""
	go g.Mover.Drop(source, target, handle)
}

// refuse leaves an engine out that had no room.
func (m *movement) refuse(id core.EndpointID) {
	if m.refused == nil {
		m.refused = map[core.EndpointID]bool{}
	}
	m.refused[id] = true
}

// restart begins anew for a generation that goes on at source.
func (m *movement) restart(g *Gate, source core.Endpoint) {
	m.release(g)
	*m = movement{source: source}
}

// moved is the outcome of a call to the source.
type moved struct {
	source core.EndpointID
	final  bool
	core.Moved
	err error
}

// onNotice takes that an engine which runs the generation or holds a copy of it leaves.
func (s *stream) onNotice() {
	l := s.current
	if l == nil {
		l = s.pending
	}
	if l == nil || !s.movable() || s.move.stopped {
		return
	}
	now := time.Now()
	if e := s.g.Fleet.Get(l.endpoint.ID); e != nil && e.Leaving && !s.move.leaving {
		s.leave(now, l, e.Since)
		return
	}
	if l.backup != nil && !s.backupUsable(l) {
		l.dropBackup()
	}
}

func (s *stream) leaves(ep core.Endpoint) bool {
	e := s.g.Fleet.Get(ep.ID)
	return e == nil || e.Leaving || time.Now().Before(e.Unreachable)
}

// leave begins to move the generation off an engine that leaves.
func (s *stream) leave(now time.Time, l *leg, since time.Time) {
	s.move.leaving, s.move.source, s.move.tries = true, l.endpoint, 0
	s.move.at, s.move.since = now, since
	if s.backupUsable(l) {
		s.move.at = since.Add(switchAfter + rand.N(switchSpread))
	}
	s.g.Log.Request(event.Moving, s.ID, event.Fields{
		"endpoint": l.endpoint.ID, "cause": "the endpoint leaves", "notice_age_ms": now.Sub(since).Milliseconds(),
		"events": s.events, "backup": backupID(l), "copy": s.move.target.ID, "wait_ms": s.move.at.Sub(now).Milliseconds(),
	})
	s.arm()
}

func (s *stream) backupUsable(l *leg) bool {
	if l.backup == nil {
		return false
	}
	return !s.leaves(*l.backup)
}

// moveOn takes the next step off an engine that leaves.
func (s *stream) moveOn() {
	switch {
	case s.move.busy || s.move.stopped || s.current == nil:
	case s.pending != nil:
		s.move.at = time.Now().Add(moveRetry)
	case s.events > 0 && s.resumeFromBackup():
	case !s.service.Engine.Moves:
	case s.move.copied() && !s.leaves(s.move.target):
		s.moveCopied()
	default:
		s.startCopy()
	}
}

// moveCopied stops the generation for its last copy, or copies once more when the link is busy with other copies.
func (s *stream) moveCopied() {
	now := time.Now()
	if now.Sub(s.move.asked) > shortCopy && now.Sub(s.move.since) < lastCopyAfter {
		s.callMove(false)
		return
	}
	s.move.stopped = true
	s.callMove(true)
}

// resumeFromBackup resumes the stream where a copy of its generation is kept; the current leg goes on until the answer.
func (s *stream) resumeFromBackup() bool {
	l := s.current
	if !s.backupUsable(l) {
		return false
	}
	backup := *l.backup
	l.dropBackup()
	return s.resumeAt(backup, backup.Address+"/"+string(s.ID))
}

// resumeAt sends the call to an endpoint that holds the generation's memory.
func (s *stream) resumeAt(target core.Endpoint, from string) bool {
	now := time.Now()
	if s.g.Fleet.Get(target.ID) == nil || now.After(s.end) {
		return false
	}
	s.g.Allow.Force(now, s.service.Name)
	s.open(target, from, s.backup(now, target))
	return true
}

// startCopy copies the generation to another engine, while it goes on.
func (s *stream) startCopy() {
	now := time.Now()
	all := s.g.Fleet.Of(s.service.Name)
	d := place.Demand{Tokens: s.memory}
	e := s.g.Place.Copy(now, s.service, all, s.move.source, d, true, s.move.refused)
	if e == nil && s.move.tries < moveTries {
		s.move.refused = nil
		e = s.g.Place.Copy(now, s.service, all, s.move.source, d, true, nil)
	}
	s.move.drop(s.g)
	if e == nil {
		s.move.at = now.Add(copyRetry)
		return
	}
	s.move.tries++
	s.move.target, s.move.memory = e.Endpoint, s.memory
	s.g.Tally.Add(e.ID, tally.Use{Calls: 1, Tokens: s.memory})
	s.g.Tell(e.Domain, true)
	s.callMove(false)
}

// callMove asks the source to copy; the outcome arrives on s.moved.
func (s *stream) callMove(final bool) {
	s.move.busy, s.move.final, s.move.asked = true, final, time.Now()
	source, target, id, out := s.move.source, s.move.target, s.ID, s.moved
	go func() {
		m, err := s.g.Mover.Move(source, target, id, final)
		out <- moved{source: source.ID, final: final, Moved: m, err: err}
	}()
}

// onMoved takes the outcome of a copy.
func (s *stream) onMoved(m moved) {
	if m.source != s.move.source.ID || !s.move.busy {
		return // of a movement that is over
	}
	s.move.busy = false
	if s.move.salvage {
		s.salvaged(m)
		return
	}
	s.g.Log.Request(event.Copied, s.ID, event.Fields{
		"endpoint": m.source, "target": s.move.target.ID, "final": m.final, "handle": m.Handle, "error": m.err,
		"events": s.events, "copied_events": m.Events,
	})
	switch {
	case m.err == nil && !m.final:
		s.copied(m.Handle)
	case m.err == nil:
		s.move.handle = m.Handle
		s.resumeMoved(s.move.target)
	default:
		s.moveFailed(m)
	}
}

// salvageAt resumes a stream whose engine broke off where a backup of its generation is. The engine may go on with the
// generation although its answer was lost, so it is stopped first.
func (s *stream) salvageAt(source, backup core.Endpoint) {
	s.move.release(s.g)
	s.move = movement{source: source, target: backup, busy: true, final: true, stopped: true, salvage: true}
	id, out := s.ID, s.moved
	go func() {
		m, err := s.g.Mover.Stop(source, backup, id)
		out <- moved{source: source.ID, final: true, Moved: m, err: err}
	}()
}

// salvaged resumes the stream after its engine was stopped, or could not be.
func (s *stream) salvaged(m moved) {
	s.g.Log.Request(event.Copied, s.ID, event.Fields{
		"endpoint": m.source, "target": s.move.target.ID, "final": true, "handle": m.Handle, "error": m.err, "events": s.events,
		"cause": "the endpoint broke off",
	})
	s.move.salvage = false
	source, backup := s.move.source, s.move.target
	switch {
	case m.err == nil:
		s.move.handle = m.Handle
		s.resumeMoved(backup)
	case s.resumeAt(backup, backup.Address+"/"+string(s.ID)):
		s.move.handle = m.Handle // the source keeps the memory if it was stopped without room at the other engine
		s.move.source = source
	default:
		s.cut(errNotResumed)
	}
}

// copied takes that the target holds a complete copy.
func (s *stream) copied(handle string) {
	if s.pending != nil || s.current == nil {
		return // the stream goes on elsewhere already
	}
	s.move.handle = handle
	s.moveCopied()
}

// resumeMoved resumes the stream at an engine that holds the moved memory.
func (s *stream) resumeMoved(target core.Endpoint) {
	if s.resumeAt(target, s.move.source.Address+"/"+s.move.handle) {
		return
	}
	s.cut(errNoOther)
}

// moveFailed decides what follows from a refused copy.
func (s *stream) moveFailed(m moved) {
	var refused *core.MoveError
	status := 0
	if errors.As(m.err, &refused) {
		status = refused.Status
	}
	switch {
	case m.final && status == http.StatusServiceUnavailable && m.Handle != "":
		s.move.handle = m.Handle
		s.resumeMoved(s.move.source) // it has stopped there and keeps the memory
	case m.final && status == http.StatusNotFound:
		s.move.stopped = false // it has ended; its last events are here or on their way
		s.flush()
		switch {
		case s.whole:
			s.complete()
		case s.current == nil && s.pending == nil:
			s.cut(m.err)
		}
	case m.final && s.move.copied():
		s.resumeMoved(s.move.target)
	default:
		s.move.stopped = false
		s.move.handle = ""
		if status == http.StatusServiceUnavailable {
			s.move.refuse(s.move.target.ID)
		}
		s.flush()
		s.move.at = time.Now().Add(moveRetry)
		s.arm()
	}
}

// flush delivers the events that were held for another leg.
func (s *stream) flush() {
	held := s.held
	s.held = nil
	for _, e := range held {
		if s.current != nil && !s.finished {
			s.deliver(e)
		}
	}
}

// notResumed handles a leg that was to go on with a generation and could not.
func (s *stream) notResumed(o opened) {
	fields := event.Fields{
		"endpoint": o.leg.endpoint.ID, "from": o.leg.from, "error": o.err, "events": s.events, "age_ms": s.age(),
	}
	if o.answer != nil {
		fields["status"], fields["not_run"] = o.answer.StatusCode, o.answer.NotRun
	}
	s.g.Log.Request(event.NotResumed, s.ID, fields)
	var sendErr *dial.Error
	if errors.As(o.err, &sendErr) && !sendErr.MayHaveRun() && s.ctx.Err() == nil {
		s.g.Unreachable(o.leg.endpoint.ID, sendErr.Refused())
	}
	s.g.Meter.Count("not_resumed")
	switch {
	case s.ctx.Err() != nil:
		s.ended(nil)
	case s.current != nil && !s.move.stopped:
		s.flush()
		s.move.at = time.Now()
		s.arm()
	case s.move.copied() && o.leg.endpoint.ID != s.move.source.ID:
		s.resumeMoved(s.move.source)
	default:
		s.cut(errNotResumed)
	}
}

var errNotResumed = errors.New("no engine holds the memory of the generation")
