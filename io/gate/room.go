package gate

import (
	"errors"
	"maps"
	"math/rand/v2"
	"net/http"
	"time"

	"snipeshed/core"
	"snipeshed/core/fleet"
	"snipeshed/core/place"
	"snipeshed/core/route"
)

const (
	// roomShare is the part of the objective for which a stream waits for room.
	roomShare = 0.85
	// returnedShare is the part of the time left for which a stream waits whose caller was refused before: it is late
	// already, and would be lost if it was refused once more.
	returnedShare = 0.4
	// freshShare is the part of the route's timeout that a call has left when it comes for the first time.
	freshShare = 0.95
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
	until := s.waitUntil()
	stopWaiting := func() {}
	defer func() { stopWaiting() }()
	for first := true; ; first = false {
		now := time.Now()
		all := s.g.Fleet.Of(s.service.Name)
		if s.g.Place.Choose(now, s.service, all, s.demand(), s.tried) == nil {
			s.conclude(nil, s.lastErr())
			return nil, ""
		}
		if s.mayLook(now, all, first) {
			if e, hold := s.look(time.Now(), s.g.Fleet.Of(s.service.Name)); e != nil {
				return e, hold
			}
		}
		if !wait || now.After(until) {
			s.noRoom()
			return nil, ""
		}
		if first {
			stopWaiting = s.wait()
		}
		select {
		case <-s.ctx.Done():
			s.ended(nil)
			return nil, ""
		case <-time.After(s.lookInterval()):
		}
	}
}

// waitUntil returns until when the call waits for room.
func (s *stream) waitUntil() time.Time {
	d := time.Duration(roomShare * float64(s.rule.Objective))
	if left := s.end.Sub(s.start); left < time.Duration(freshShare*float64(s.rule.Timeout)) {
		d = max(d, time.Duration(returnedShare*float64(left)))
	}
	return s.start.Add(d)
}

// wait counts the call among those that wait for room, until the returned function is called.
func (s *stream) wait() func() {
	if !s.movable() {
		return func() {}
	}
	s.g.Tally.Wait(1)
	return func() { s.g.Tally.Wait(-1) }
}

// mayLook reports whether the call may look for room now. When room appears while long calls wait at several instances,
// each of them waits for a moment first, so that it hears where those before it went.
func (s *stream) mayLook(now time.Time, all []*fleet.Status, first bool) bool {
	if !s.movable() {
		return true
	}
	_, waiting := s.g.Tally.Waiting(now)
	if first && waiting == 0 {
		return true
	}
	if s.g.Place.Full(now, s.service, all, s.demand()) {
		return false
	}
	time.Sleep(rand.N(place.Settle(waiting)))
	return true
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

func (s *stream) lookInterval() time.Duration {
	rank := time.Duration(max(route.Rank(s.rule, s.team), 0))
	d := min(urgentInterval*(1+rank), longestInterval)
	return d/2 + rand.N(d)
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
