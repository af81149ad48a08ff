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
	// urgentInterval is the time between two looks for room of the most urgent rank; each further rank looks less often,
	// so that urgent calls find it first.
	urgentInterval  = 10 * time.Millisecond
	longestInterval = 50 * time.Millisecond
	// settleTime is some times as long as it takes to tell the other instances of a call.
	settleTime = 30 * time.Millisecond
	// holdTries is the number of engines that are asked for room in one look.
	holdTries = 3
)

// reserve returns an engine with room and what it holds for the call; it refuses the call when there is none in time.
// An engine that is likely to be crowded is asked to hold room, so that the call does not wait in its queue, which it
// could not leave again.
func (s *stream) reserve(wait bool) (*fleet.Status, string) {
	until := s.start.Add(time.Duration(roomShare * float64(s.rule.Objective)))
	settled := true
	for {
		now := time.Now()
		all := s.g.Fleet.Of(s.service.Name)
		if s.g.Place.Choose(now, s.service, all, s.demand(), s.tried) == nil {
			s.conclude(nil, s.lastErr())
			return nil, ""
		}
		if settled {
			if e, hold := s.look(now, all); e != nil {
				return e, hold
			}
		}
		settled = s.settle(now, all)
		if !wait || now.After(until) {
			s.noRoom()
			return nil, ""
		}
		select {
		case <-s.ctx.Done():
			s.ended(nil)
			return nil, ""
		case <-time.After(s.lookInterval()):
		}
	}
}

// settle spreads the calls that wait at all instances over settleTime when room appears, so that each sees where those
// before it went; it reports whether this call may look again.
func (s *stream) settle(now time.Time, all []*fleet.Status) bool {
	if !s.movable() || s.g.Place.Full(now, s.service, all, s.demand()) {
		return false
	}
	time.Sleep(rand.N(settleTime))
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
