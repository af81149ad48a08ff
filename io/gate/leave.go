package gate

import (
	"errors"
	"net/http"
	"time"

	"snipeshed/core"
	"snipeshed/io/dial"
	"snipeshed/io/event"
)

const (
	// maxStopAttempts is the number of requests to stop a generation while its engine refuses them because it copies the generation.
	maxStopAttempts   = 6
	stopRetryInterval = 60 * time.Millisecond
)

// leave records that the stream goes on without an engine that may still run its generation: its connection broke or was closed.
// Most engines drop a generation with its connection; the others work on it to its end.
func (s *stream) leave(e core.Endpoint) { s.left = append(s.left, e) }

// stopLeft tells the engines that the stream has left to stop the generation, which goes on at the next one.
func (s *stream) stopLeft(next core.Endpoint) {
	for _, e := range s.left {
		if e.ID == next.ID {
			continue // it would stop the generation that goes on
		}
		id, age := s.ID, s.ageMs()
		s.inBackground("stopping the generation", func() {
			m, err := s.g.stopAndMove(e, next, id)
			if err == nil {
				s.g.Meter.Count("left_running")
				s.g.Mover.FreeCopy(e, next, m.Handle)
			}
			s.g.Log.EmitRequest(event.LeftStopped, id, event.Fields{
				"endpoint": e.ID, "next": next.ID, "was_running": err == nil, "error": err, "age_ms": age,
			})
		})
	}
	s.left = nil
}

// stopAndMove stops a generation and copies its memory to target. While the engine copies it for an earlier request, it tries again.
func (g *Gate) stopAndMove(source, target core.Endpoint, id core.AttemptID) (core.MoveResult, error) {
	for n := 1; ; n++ {
		m, err := g.Mover.StopAndMove(source, target, id)
		if n == maxStopAttempts || moveStatus(err) != http.StatusConflict {
			return m, err
		}
		time.Sleep(stopRetryInterval)
	}
}

// moveStatus returns the status of the answer to a request to copy or stop a generation, or 0 if it was not refused.
func moveStatus(err error) int {
	var moveErr *core.MoveError
	if errors.As(err, &moveErr) {
		return moveErr.Status
	}
	return 0
}

// unsentError returns the error of a request that failed before any of it was sent, or nil if it may have been run.
func unsentError(err error) *dial.Error {
	var sendErr *dial.Error
	if !errors.As(err, &sendErr) || sendErr.MayHaveRun() {
		return nil
	}
	return sendErr
}
