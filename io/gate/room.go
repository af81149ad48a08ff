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
	// roomShare is the part of the objective after which a call that waits for room is late.
	roomShare = 0.85
	// A long call waits on when it is late, for a part of the time left and no longer than some objectives: callers give up
	// after four without an event.
	lateShare      = 0.4
	lateObjectives = 2
	// lateInterval is the time between two looks for room of a call that is late.
	lateInterval = 150 * time.Millisecond
	// urgentInterval is the time between two looks for room of the most urgent rank; each further rank looks less often,
	// so that urgent calls find it first.
	urgentInterval  = 10 * time.Millisecond
	longestInterval = 50 * time.Millisecond
	// holdTries is the number of engines that are asked for room in one look.
	holdTries = 3
)

// reserve returns an engine with room and what it holds for the call; it refuses the call when there is none in time.
// An engine that is likely to be crowded is asked to hold room, so that the call does not wait in its queue, which it
// could not leave again.
func (s *stream) reserve(wait bool) (*fleet.Status, string) {
	w := s.newWaiting()
	defer w.close()
	for first := true; ; first = false {
		now := time.Now()
		all := s.g.Fleet.Of(s.service.Name)
		if s.g.Place.Choose(now, s.service, all, s.demand(), s.tried) == nil {
			s.conclude(nil, s.lastErr())
			return nil, ""
		}
		if w.mayLook(now, all, first) {
			if e, hold := s.look(time.Now(), s.g.Fleet.Of(s.service.Name)); e != nil {
				return e, hold
			}
		}
		if !wait || now.After(w.until) {
			s.noRoom()
			return nil, ""
		}
		w.count(now)
		select {
		case <-s.ctx.Done():
			s.ended(nil)
			return nil, ""
		case <-time.After(w.interval(now)):
		}
	}
}

// noRoom answers a call for which no engine has room.
func (s *stream) noRoom() {
	if s.mayHaveRun || s.events > 0 {
		s.conclude(nil, errNoOther)
		return
	}
	s.finished = true
	s.refuse(reasonFull, s.fullRetry())
}

// look tries the engines with the shortest expected wait, best first.
func (s *stream) look(now time.Time, all []*fleet.Status) (*fleet.Status, string) {
	d := s.demand()
	if d.Long && s.g.Place.Full(now, s.service, all, d) {
		return nil, ""
	}
	refused := maps.Clone(s.tried)
	for range holdTries {
		e := s.g.Place.Choose(now, s.service, all, d, refused)
		if e == nil {
			return nil, ""
		}
		if d.Long && !s.g.Place.Room(now, s.service, e, d) {
			return nil, "" // engines with room have none in fact; at this one the call would wait longer than here
		}
		if !s.g.Place.Crowded(now, s.service, e, d) {
			return e, ""
		}
		hold, err := s.askHold(e.Endpoint, d)
		var turnedAway *core.MoveError
		switch {
		case err == nil:
			return e, hold
		case errors.As(err, &turnedAway) && turnedAway.Status == http.StatusServiceUnavailable:
			refused[e.ID] = true
		default:
			return e, "" // the engine holds no room or cannot be reached; sending tells which
		}
	}
	return nil, ""
}

func (s *stream) askHold(e core.Endpoint, d place.Demand) (string, error) {
	s.g.Meter.Count("hold")
	return s.g.Mover.Hold(e, d.Tokens, s.service.Engine.HoldTime)
}
