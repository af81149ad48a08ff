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
	// A movable call keeps waiting when it is late, for at most maxWaitShare of its time and maxWaitObjectives latency
	// objectives: callers give up after four objectives without an event.
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

// reserveRoom returns an engine with room and the reservation there, or "" if none was needed. When no engine has room in
// time, it refuses the call and returns nil. Room is reserved at an engine that is likely to be crowded, so that the call
// does not wait in the queue of that engine, which it could not leave.
func (s *stream) reserveRoom(wait bool) (*fleet.Status, string) {
	w := s.newRoomWait()
	defer w.close()
	for first := true; ; first = false {
		now := time.Now()
		all := s.g.Fleet.OfService(s.service.Name)
		if s.g.Place.ChooseEndpoint(now, s.service, all, s.demand(), s.tried) == nil {
			s.answerFailure(nil, s.exhaustedErr())
			return nil, ""
		}
		if w.mayPoll(now, all, first) {
			if e, hold := s.findRoom(time.Now(), s.g.Fleet.OfService(s.service.Name)); e != nil {
				return e, hold
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
	s.refuse(reasonFull, s.fullRetryAfter())
}

// findRoom searches the engines once, in order of expected wait, and returns the first with room and the reservation there.
func (s *stream) findRoom(now time.Time, all []*fleet.Status) (*fleet.Status, string) {
	d := s.demand()
	if d.Long && s.g.Place.AllFull(now, s.service, all, d) {
		return nil, ""
	}
	excluded := maps.Clone(s.tried)
	for range maxReserveAttempts {
		e := s.g.Place.ChooseEndpoint(now, s.service, all, d, excluded)
		if e == nil {
			return nil, ""
		}
		if d.Long && !s.g.Place.HasRoom(now, s.service, e, d) {
			return nil, "" // the engines that seemed to have room refused; waiting at this one takes longer than waiting here
		}
		if !s.g.Place.MayLackRoom(now, s.service, e, d) {
			return e, ""
		}
		hold, err := s.requestReservation(e.Endpoint, d)
		var moveErr *core.MoveError
		switch {
		case err == nil:
			return e, hold
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
