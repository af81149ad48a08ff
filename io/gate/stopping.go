package gate

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"snipeshed/core"
)

const (
	// plainCallTime exceeds the duration of nearly all calls that are answered as a whole.
	plainCallTime = time.Second
	// stopAnswerTime is the time before the stop at which calls without an answer get one, so that it is sent before their
	// connections are closed.
	stopAnswerTime = 200 * time.Millisecond
)

var errStopping = errors.New("the instance stops before the endpoint has answered")

// stopState is the planned stop of the instance.
type stopState struct {
	at atomic.Pointer[time.Time] // nil while no stop is planned
	// due ends when calls without an answer must be answered.
	due    context.Context
	setDue context.CancelFunc
}

func newStopState() stopState {
	ctx, cancel := context.WithCancel(context.Background())
	return stopState{due: ctx, setDue: cancel}
}

// SetStopTime sets the time at which open calls will be aborted. From now on the gate refuses calls that are unlikely to
// finish by then, and shortly before it answers those that have no answer yet.
func (g *Gate) SetStopTime(end time.Time) {
	end = end.Add(-stopAnswerTime)
	g.stop.at.Store(&end)
	time.AfterFunc(time.Until(end), g.stop.setDue)
}

// stopsTooSoon reports whether the instance may stop before the call ends; another instance should serve it then. A call is refused
// unless it ends by its deadline: a stream would be cut off, and a call that may run once only could not be sent again after the answer
// that it gets before the stop. Idempotent calls could, so they are taken while they are likely to finish.
func (c *call) stopsTooSoon() bool {
	end := c.g.stop.at.Load()
	if end == nil {
		return false
	}
	left, needed := time.Until(*end), time.Until(c.end)
	switch {
	case c.route.Kind == core.RouteIdempotent:
		return left < min(needed, plainCallTime)
	case c.route.Kind == core.RouteStream && !c.route.Resumable:
		return true // if the instance ended early, the stream could not be resumed at another one
	default:
		return left < needed
	}
}

// endAtStop ends the call's context when the instance is about to stop, and returns a function that ends the wait for that.
func (c *call) endAtStop() func() {
	ctx, cancel := context.WithCancelCause(c.ctx)
	c.ctx = ctx
	stopWait := context.AfterFunc(c.g.stop.due, func() { cancel(errStopping) })
	return func() {
		stopWait()
		cancel(nil)
	}
}

// stopDue returns a channel that is closed when the instance is about to stop, and nil once events were delivered: such a stream may
// still end in the time that is left.
func (s *stream) stopDue() <-chan struct{} {
	if s.eventsSent > 0 {
		return nil
	}
	return s.g.stop.due.Done()
}

// endWaitInStop refuses a stream that has waited for room into a planned stop and may no longer end before it. It reports whether it did.
func (s *stream) endWaitInStop() bool {
	if s.sends > 0 || !s.stopsTooSoon() {
		return false
	}
	s.finished = true
	s.refuse(reasonStopping, stoppingRetryAfter)
	return true
}

// endStopping answers a stream without events before the instance stops.
func (s *stream) endStopping() {
	s.finished = true
	if s.current == nil && s.pending == nil && !s.mayHaveRun {
		s.refuse(reasonStopping, stoppingRetryAfter)
		return
	}
	s.fail(http.StatusGatewayTimeout, errStopping)
}
