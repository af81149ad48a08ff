package gate

import (
	"errors"
	"io"
	"net/http"
	"time"

	"snipeshed/core"
	"snipeshed/core/place"
	"snipeshed/io/dial"
	"snipeshed/io/event"
)

// stream serves a call that is answered with a stream of events. One goroutine runs it; others send it what they find.
type stream struct {
	*call
	rc      *http.ResponseController
	memory  core.Tokens // forecast
	notice  chan struct{}
	opened  chan opened
	moved   chan moved
	timer   *time.Timer
	current *leg // delivers events
	pending *leg // its request is sent, its answer has not begun
	held    []streamEvent
	move    movement
	hold    string // reserved room for the leg that is opened next

	last     string // id of the last event delivered
	events   int
	firstAt  time.Time
	lastAt   time.Time
	longest  time.Duration // longest pause between two events
	pausedAt int           // number of events before that pause
	sentAt   time.Time     // when a resumable stream's first leg was sent
	silentAt time.Time     // when the silence of the current leg is taken for a failure
	whole    bool          // the current leg has ended well while the generation was to be stopped
	finished bool
}

const (
	// silence is the time without an event after which a generation with a copy elsewhere is resumed there.
	silence = 700 * time.Millisecond
	// firstShare is the part of the objective after which a resumable stream without an event is sent elsewhere, unless
	// its engine still has prompts to read.
	firstShare = 0.65
	// readMargin and readSlack are what reading a prompt may take beyond the expected time.
	readMargin = 1.3
	readSlack  = 100 * time.Millisecond
	// silentRetry is the time until another endpoint is looked for again.
	silentRetry = 100 * time.Millisecond
	// fullRetryShare is the part of the time left after which a refused caller shall come back; callers wait for a third
	// at most.
	fullRetryShare = 0.2
)

// stream serves the call.
func (c *call) stream() {
	s := &stream{
		call: c, rc: http.NewResponseController(c.w), notice: make(chan struct{}, 1),
		opened: make(chan opened), moved: make(chan moved, 1), last: c.LastEvent, timer: time.NewTimer(time.Hour),
	}
	s.memory = c.memory()
	defer s.close()
	if e := c.service.Engine; e != nil && c.PromptTokens > e.Capacity {
		c.refuse(reasonTooLarge, busyRetry)
		return
	}
	s.begin(true)
	s.run()
}

func (s *stream) close() {
	s.timer.Stop()
	for _, l := range []*leg{s.current, s.pending} {
		if l != nil {
			l.close(false)
		}
	}
	s.move.drop(s.g)
}

// fullRetry is when a caller that found no room shall come back: a surge lasts some seconds.
func (s *stream) fullRetry() time.Duration {
	return max(time.Duration(fullRetryShare*float64(time.Until(s.end))), busyRetry)
}

// begin sends the call to an endpoint with room; wait says that it may wait for one.
func (s *stream) begin(wait bool) {
	e, hold := s.reserve(wait)
	if e == nil {
		return
	}
	now := time.Now()
	s.tried[e.ID] = true
	backup := s.backup(now, e.Endpoint)
	u := s.g.Tally.Of(now, e.ID)
	s.g.Log.Request(event.Routed, s.ID, event.Fields{
		"endpoint": e.ID, "calls": u.Calls, "tokens": u.Tokens, "unread": u.Unread, "prompt": s.PromptTokens,
		"forecast": s.memory, "hint": s.LengthHint, "max": s.MaxTokens, "backup": endpointID(backup), "hold": hold != "",
		"age_ms": s.age(), "instances": s.g.Instances(),
	})
	s.hold = hold
	s.open(e.Endpoint, "", backup)
	s.silentAt = time.Time{}
	if s.rule.Resumable && s.sends+1 < s.rule.MaxAttempts {
		s.sentAt = now
		s.silentAt = now.Add(time.Duration(firstShare * float64(s.rule.Objective)))
	}
	s.arm()
}

// readUntil returns when the engine that reads the prompt has read it, and all others that it has not read yet. An engine
// may read a prompt that came later first. After the objective nothing is gained by waiting on.
func (s *stream) readUntil(now time.Time) time.Time {
	reading := withMargin(s.g.Place.Reading(now, s.pending.endpoint.ID))
	return s.sentAt.Add(min(reading, s.rule.Objective))
}

// withMargin returns what reading prompts takes at most, nearly always.
func withMargin(expected time.Duration) time.Duration {
	return time.Duration(readMargin*float64(expected)) + readSlack
}

func (s *stream) lastErr() error {
	if s.sends == 0 {
		return nil
	}
	return errNoOther
}

var errNoOther = errors.New("no other endpoint takes the call")

// backup returns the engine that shall keep a copy of the generation's memory, or nil.
func (s *stream) backup(now time.Time, source core.Endpoint) *core.Endpoint {
	if s.rule.Resumable || s.service.Engine == nil || !s.service.Engine.Backups {
		return nil
	}
	e := s.g.Place.Copy(now, s.service, s.g.Fleet.Of(s.service.Name), source, place.Demand{Tokens: s.memory}, false, nil)
	if e == nil {
		return nil
	}
	return &e.Endpoint
}

// run serves the stream until it is finished.
func (s *stream) run() {
	for !s.finished {
		var events chan streamEvent
		if s.current != nil {
			events = s.current.events
		}
		select {
		case o := <-s.opened:
			s.onOpened(o)
		case e := <-events:
			s.onEvent(e)
		case <-s.notice:
			s.onNotice()
		case m := <-s.moved:
			s.onMoved(m)
		case <-s.timer.C:
			s.onTimer()
		case <-s.ctx.Done():
			s.ended(nil)
		}
	}
}

// arm sets the timer to the next moment at which something is due.
func (s *stream) arm() {
	next := s.silentAt
	if at := s.move.at; !at.IsZero() && (next.IsZero() || at.Before(next)) {
		next = at
	}
	if next.IsZero() {
		next = time.Now().Add(time.Hour)
	}
	s.timer.Reset(time.Until(next))
}

func (s *stream) onTimer() {
	now := time.Now()
	if at := s.move.at; !at.IsZero() && !now.Before(at) {
		s.move.at = time.Time{}
		s.moveOn()
	}
	if at := s.silentAt; !at.IsZero() && !now.Before(at) {
		s.silentAt = time.Time{}
		s.onSilence()
	}
	s.arm()
}

// onSilence takes an endpoint that sends nothing for failed where the stream can go on elsewhere.
func (s *stream) onSilence() {
	switch {
	case s.events == 0 && s.rule.Resumable && s.pending != nil && s.move.idle():
		now := time.Now()
		switch until := s.readUntil(now); {
		case now.Before(until):
			s.silentAt = until
		case !s.mayGoElsewhere(now):
			s.silentAt = now.Add(silentRetry)
		default:
			s.broken(s.pending, errSilent)
		}
	case s.events > 0 && s.current != nil && s.pending == nil && !s.move.stopped:
		s.resumeFromBackup()
	}
}

// mayGoElsewhere reports whether another endpoint with room may be tried. Without one a silent endpoint is still the most
// likely to answer.
func (s *stream) mayGoElsewhere(now time.Time) bool {
	d := s.demand()
	e := s.g.Place.Choose(now, s.service, s.g.Fleet.Of(s.service.Name), d, s.tried)
	return e != nil && s.g.Place.Room(now, s.service, e, d) && s.g.Allow.May(now, s.service.Name, s.g.Instances())
}

var errSilent = errors.New("the endpoint sent nothing for too long")

// onOpened takes the outcome of sending a leg's request.
func (s *stream) onOpened(o opened) {
	if o.leg != s.pending {
		o.leg.close(false)
		if o.answer != nil {
			o.answer.Close(false)
		}
		return
	}
	if o.err == nil && o.answer.StatusCode == http.StatusOK && o.answer.Sealed {
		s.switchTo(o.leg, o.answer)
		return
	}
	s.pending = nil
	if o.answer != nil {
		defer o.answer.Close(false)
	}
	o.leg.close(false)
	if o.leg.from != "" {
		s.notResumed(o)
		return
	}
	s.notBegun(o)
}

// switchTo makes a leg that has answered the one that delivers events.
func (s *stream) switchTo(l *leg, a *dial.Answer) {
	if s.current != nil {
		s.current.close(false)
	}
	if l.from != "" || s.events > 0 {
		s.g.Meter.Count("resumed")
		s.g.Log.Request(event.Resumed, s.ID, event.Fields{
			"endpoint": l.endpoint.ID, "from": l.from, "after": s.last, "events": s.events, "age_ms": s.age(),
			"pause_ms": time.Since(s.lastAt).Milliseconds(),
		})
	}
	s.held, s.whole = nil, false
	s.current, s.pending = l, nil
	s.move.restart(s.g, l.endpoint)
	s.head(a)
	l.read(a)
	if e := s.g.Fleet.Get(l.endpoint.ID); e != nil && e.Leaving {
		s.onNotice()
	}
}

// head keeps the first leg's headers for the caller.
func (s *stream) head(a *dial.Answer) {
	if s.events == 0 {
		h := s.w.Header()
		clear(h)
		copyHeader(h, a.Header)
		h.Del("Content-Length")
	}
}

// notBegun handles a first leg without a stream.
func (s *stream) notBegun(o opened) {
	var sendErr *dial.Error
	if errors.As(o.err, &sendErr) && !sendErr.MayHaveRun() && s.ctx.Err() == nil {
		s.g.Unreachable(o.leg.endpoint.ID, sendErr.Refused())
		if len(s.tried) < connectTries {
			s.begin(false)
			return
		}
		s.conclude(nil, o.err)
		return
	}
	s.g.Tally.End(time.Now(), o.leg.endpoint.ID, s.ctx.Err() == nil)
	s.sends++
	var w *whole
	if o.err == nil {
		body, err := io.ReadAll(io.LimitReader(o.answer.Body, holdBytes))
		w = &whole{Answer: o.answer, body: body, err: err}
	}
	s.mayHaveRun = s.mayHaveRun || w == nil || !w.NotRun
	if s.ctx.Err() != nil {
		s.ended(nil)
		return
	}
	if o.err != nil && o.leg.backup != nil {
		s.salvageAt(o.leg.endpoint, *o.leg.backup)
		return
	}
	if s.again(w, o.err) {
		s.begin(false)
		return
	}
	s.conclude(w, o.err)
}

// broken handles the end of a leg before the end of its stream.
func (s *stream) broken(l *leg, cause error) {
	if s.ctx.Err() != nil {
		s.ended(nil)
		return
	}
	if l == s.pending {
		s.pending = nil
	}
	if l == s.current {
		s.current = nil
	}
	s.g.Tally.End(time.Now(), l.endpoint.ID, true)
	backup := l.backup
	l.close(false)
	if s.pending != nil || s.move.stopped {
		return // the stream goes on where it is being resumed
	}
	s.g.Log.Request(event.Moving, s.ID, event.Fields{
		"endpoint": l.endpoint.ID, "cause": cause, "events": s.events, "backup": backupID(l), "copy": s.move.handle,
		"age_ms": s.age(),
	})
	if s.move.copied() && s.resumeAt(s.move.target, s.move.source.Address+"/"+s.move.handle) {
		return
	}
	if backup != nil {
		s.salvageAt(l.endpoint, *backup)
		return
	}
	s.sends++
	s.mayHaveRun = true
	if s.rule.Resumable && s.again(nil, cause) {
		s.begin(false)
		return
	}
	s.cut(cause)
}

func backupID(l *leg) core.EndpointID { return endpointID(l.backup) }

func endpointID(e *core.Endpoint) core.EndpointID {
	if e == nil {
		return ""
	}
	return e.ID
}
