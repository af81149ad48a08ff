package gate

import (
	"errors"
	"maps"
	"net/http"
	"time"

	"snipeshed/core"
	"snipeshed/core/fleet"
	"snipeshed/core/place"
)

const (
	// lateAfterShare is the share of the route's latency objective after which a call that waits for room is late.
	lateAfterShare = 0.85
	// A movable call that is late keeps waiting until maxWaitShare of its timeout or maxWaitObjectives latency objectives have
	// passed since its arrival, whichever comes first, but at least for lateAfterShare of one objective. Callers give up after
	// four objectives without an event.
	maxWaitShare      = 0.4
	maxWaitObjectives = 2
	// latePollInterval is the mean time between two searches for room by a call that is late.
	latePollInterval = 150 * time.Millisecond
	// urgentPollInterval is the mean time between two searches for room by a call of the most urgent rank. Lower ranks search
	// less often, so that urgent calls find room first.
	urgentPollInterval = 10 * time.Millisecond
	maxPollInterval    = 50 * time.Millisecond
	// maxReserveAttempts is the number of engines that are considered in one search for room.
	maxReserveAttempts = 3
)

// reserveRoom returns an engine with room and the id of the reservation there, or "" if none was needed. If no engine has room
// in time, it refuses the call and returns nil. It reserves room only at an engine that may lack it, so that the call does not
// end up in the queue of that engine, which it could not leave.
func (s *stream) reserveRoom(w *roomWait, wait bool) (*fleet.Status, string) {
	for first := true; ; first = false {
		if s.endQuarantined() || s.endWaitInStop() {
			return nil, ""
		}
		now := time.Now()
		all := s.endpoints()
		none := s.g.Selector.ChooseEndpoint(now, s.service, all, s.demand(), s.tried) == nil
		mayWait := wait && s.backoffEndsBy(w.giveUpAt)
		if none && !mayWait {
			s.answerFailure(nil, s.exhaustedErr())
			return nil, ""
		}
		if w.mayPoll(now, all, first) {
			if e, reservationID := s.findRoom(time.Now(), s.endpoints()); e != nil {
				return e, reservationID
			}
		}
		if !wait || now.After(w.giveUpAt) {
			s.answerNoRoom()
			return nil, ""
		}
		w.updateCount(now)
		select {
		case <-s.ctx.Done():
			s.endEarly(nil)
			return nil, ""
		case <-s.stopDue():
			s.endStopping()
			return nil, ""
		case <-time.After(w.pollInterval(now)):
		}
	}
}

// answerNoRoom responds to a call for which no engine has room.
func (s *stream) answerNoRoom() {
	if s.mayHaveRun || s.eventsSent > 0 {
		s.answerFailure(nil, errNoOtherEndpoint)
		return
	}
	s.finished = true
	s.refuseUnserved(reasonNoRoom, s.fullRetryAfter())
}

// findRoom searches the engines once, in order of expected wait, and returns the first with room and the id of the reservation
// there.
func (s *stream) findRoom(now time.Time, all []*fleet.Status) (*fleet.Status, string) {
	d := s.demand()
	if d.Long && s.g.Selector.AllFull(now, s.service, all, d) {
		return nil, ""
	}
	excluded := maps.Clone(s.tried)
	for range maxReserveAttempts {
		e := s.g.Selector.ChooseEndpoint(now, s.service, all, d, excluded)
		if e == nil {
			return nil, ""
		}
		if d.Long && !s.g.Selector.HasRoom(now, s.service, e, d) {
			return nil, "" // engines that seemed to have room refused; waiting here is faster than in the queue of this one
		}
		if !s.takeCold(e) {
			excluded[e.ID] = true
			continue
		}
		if !s.g.Selector.MayLackRoom(now, s.service, e, d) {
			return e, ""
		}
		reservationID, err := s.requestReservation(e.Endpoint, d)
		if !s.g.mayBeAsked(e.ID) {
			excluded[e.ID] = true // an answer that arrived meanwhile said so
			continue
		}
		var moveErr *core.MoveError
		switch {
		case err == nil:
			return e, reservationID
		case errors.As(err, &moveErr) && moveErr.Status == http.StatusServiceUnavailable:
			excluded[e.ID] = true
		default:
			return e, "" // the engine supports no reservations or is unreachable; sending the call shows which
		}
	}
	return nil, ""
}

func (s *stream) requestReservation(e core.Endpoint, d place.Demand) (string, error) {
	s.g.Meter.Count("hold")
	return s.g.Mover.ReserveMemory(e, d.Tokens, s.service.Engine.MaxReservation)
}
