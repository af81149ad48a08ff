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
	// plainCallTime and resumableCallTime exceed the duration of nearly all calls of their kind.
	plainCallTime     = time.Second
	resumableCallTime = 3 * time.Second
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

// stopsTooSoon reports whether the instance may stop before the call ends; another instance should serve it then. A call that may run
// once only is refused unless it ends by its deadline, since its caller could not send it again after another answer.
func (c *call) stopsTooSoon() bool {
	end := c.g.stop.at.Load()
	if end == nil {
		return false
	}
	left := time.Until(*end)
	switch {
	case c.route.Kind == core.RouteIdempotent:
		return left < min(time.Until(c.end), plainCallTime)
	case c.route.Kind != core.RouteStream:
		return left < time.Until(c.end)
	case c.route.Resumable:
		return left < resumableCallTime
	default:
		return true // its duration is unknown and it cannot be resumed at another instance
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

// endStopping answers a stream without events before the instance stops.
func (s *stream) endStopping() {
	s.finished = true
	if s.current == nil && s.pending == nil && !s.mayHaveRun {
		s.refuse(reasonStopping, stoppingRetryAfter)
		return
	}
	s.fail(http.StatusGatewayTimeout, errStopping)
}
