package gate_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/stand/plat"
)

// TestAnsweredBeforeStop guards against calls that are cut off without an answer at the end of a planned stop, because their endpoints
// still work on them.
func TestAnsweredBeforeStop(t *testing.T) {
	const stopAfter = 600 * time.Millisecond
	for _, tt := range []struct {
		name, path string
	}{
		{"may run once", "/book/r1"},
		{"may run twice", "/look/r1"},
		{"stream without events", "/long/stream"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			list := append(newEngines(1, 2*time.Second), plat.NewEngine("app-1"), plat.NewEngine("app-2"))
			for _, e := range list[1:] {
				e.CallHandler = func(_ http.ResponseWriter, r *http.Request) {
					select {
					case <-r.Context().Done():
					case <-time.After(2 * time.Second):
					}
				}
			}
			s := start(t, false, list...)
			begun := time.Now()
			time.AfterFunc(50*time.Millisecond, func() { s.gate.SetStopTime(begun.Add(stopAfter)) })
			resp := s.send(t.Context(), t, http.MethodPost, tt.path, "r1")
			body(resp)
			is.True(time.Since(begun) < stopAfter)
			is.Equal(resp.StatusCode, http.StatusGatewayTimeout) // it may have run
		})
	}
}

// TestLateInStop guards against calls that are taken late in a planned stop although they may not be answered before its end: one that
// may run once only is refused while its caller can still send it to another instance.
func TestLateInStop(t *testing.T) {
	is := is.New(t)
	app := plat.NewEngine("app-1")
	s := start(t, false, app)
	s.gate.SetStopTime(time.Now().Add(1150 * time.Millisecond)) // the route's timeout is 1 s
	resp := s.send(t.Context(), t, http.MethodPost, "/book/r1", "r1")
	body(resp)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(app.StartCount("r1"), 0) // as the refusal says
}
