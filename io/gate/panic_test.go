package gate_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
)

// panickingMover panics instead of moving a generation.
type panickingMover struct{ core.Mover }

// Move panics.
func (panickingMover) Move(core.Endpoint, core.Endpoint, core.AttemptID, bool) (core.MoveResult, error) {
	panic("unexpected")
}

// TestPanicEndsOneCall guards against an unexpected error in one call that ends the process and with it all other calls.
func TestPanicEndsOneCall(t *testing.T) {
	is := is.New(t)
	list := newEngines(2, 15*time.Millisecond)
	for _, e := range list {
		e.Events = 60
	}
	apps := newApps(1)
	s := start(t, false, append(list, apps...)...)
	s.gate.Mover = panickingMover{s.gate.Mover}
	resp := s.send(t.Context(), t, http.MethodPost, "/long/stream", "r1")
	s.markLeaving(waitForEngine(t, list, "r1"))
	eventually(t, "the panic is logged", func() bool { return s.logged("msg=panicked") })
	got, err := eventIDs(resp)
	is.NoErr(err) // the engine had not left yet
	checkEvents(is, got, 60)
	next := s.send(t.Context(), t, http.MethodPost, "/look/1", "r2")
	is.Equal(next.StatusCode, http.StatusOK)
	_ = body(next)
}

// TestPanicInHandler guards against a call whose handler panics without a log line and a count, or with a complete response.
func TestPanicInHandler(t *testing.T) {
	is := is.New(t)
	s := start(t, false, newApps(1)...)
	fleetSize := s.gate.FleetSize
	s.gate.FleetSize = func() int { panic("unexpected") }
	_, complete := s.tryCall(t, "/look/1")
	is.True(!complete)
	eventually(t, "the panic is logged", func() bool { return s.logged("msg=panicked") }) // lines are written in the background
	s.gate.FleetSize = fleetSize
	_, complete = s.tryCall(t, "/look/1")
	is.True(complete)
}

// logged reports whether a text stands in the log.
func (s *system) logged(text string) bool { return strings.Contains(s.log.String(), text) }
